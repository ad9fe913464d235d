"""Contents of requests and responses, independent of a platform's header names."""

import attrs

from kumquatseam.prompts import PromptChain
from kumquatseam.upstreams import NO_LIMIT_PER_S, AvailabilityNotice


@attrs.frozen
class Call:
    """Contents of a caller's request.

    :param request_id: the caller's id for this attempt.
    :param key: API key of the team; ``""`` without one.
    :param deadline_s: how long the caller waits; ``None`` if not stated.
    :param model: the requested model; ``""`` for plain services.
    :param prompt: the prompt's parts.
    :param prompt_tokens: tokens of the prompt, as counted by the caller.
    :param max_output_tokens: maximum number of tokens to generate.
    :param states_tokens: whether the request states its numbers of tokens.
    :param resume_after: id of the last event that the caller already received.
    :param resumes: id of the caller's attempt that brought the stream's first event;
        several if the caller names different ones.
    """

    request_id: str
    key: str = ""
    deadline_s: float | None = None
    model: str = ""
    prompt: PromptChain = PromptChain()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    states_tokens: bool = False
    resume_after: str = ""
    resumes: tuple[str, ...] = ()

    @property
    def first_resumed(self) -> str:
        """Id of the attempt that it resumes; ``""`` for none."""
        return self.resumes[0] if self.resumes else ""

    @property
    def tokens(self) -> int:
        """Maximum memory that it needs on an engine, in tokens."""
        return self.prompt_tokens + self.max_output_tokens


@attrs.frozen
class SendOptions:
    """Options that the router sets on a forwarded request.

    :param upstream_id: the only upstream that may run it.
    :param remaining_s: how long the caller still waits.
    :param team: the team it belongs to; ``""`` for public routes.
    :param cache_salt: scope within which cached parts are shared.
    :param cache_source: address to fetch cached parts from; ``""`` for none.
    :param cache_target: address to send prefilled parts to; ``""`` for none.
    :param expected_version: the only weights version that may run it, if any.
    :param engine_priority: 0 (first) to 9; ``None`` for the engine's default.
    :param resume_after: id of the last event already forwarded.
    :param resume_run: identifies the copied KV cache of a moved run to resume from.
    """

    upstream_id: str
    remaining_s: float
    team: str = ""
    cache_salt: str = ""
    cache_source: str = ""
    cache_target: str = ""
    expected_version: int | None = None
    engine_priority: int | None = None
    resume_after: str = ""
    resume_run: str = ""


@attrs.frozen
class ResponseTraits:
    """Data in the head of an upstream's response.

    :param is_not_run: the upstream guarantees that it did not run the request: it
        refused it, or another upstream or weights version is at this address.
    :param responding_id: id of the upstream at this address, if it reports that it
        is not the expected one.
    :param weights_version: the weights version that responded, if stated.
    :param keep_alive_s: how long the idle connection will stay open, if stated.
    :param is_signed: whether it carries the upstream's signature.
    :param limit_per_s: requests a second that the upstream accepts from all instances
        together; ``None`` if the value is unreadable.
    :param brittle_refusals: refusals a second beyond which the upstream ends;
        ``None`` if it says nothing of the kind.
    :param availability: what it says about further requests to the upstream.
    """

    is_not_run: bool
    weights_version: int | None
    keep_alive_s: float | None
    is_signed: bool
    responding_id: str = ""
    limit_per_s: float | None = NO_LIMIT_PER_S
    brittle_refusals: float | None = None
    availability: AvailabilityNotice = AvailabilityNotice()
