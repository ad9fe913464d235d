"""What a request, a forwarded request and an answer mean, without wire names."""

import attrs

from kumquatseam.prompts import PromptChain


@attrs.frozen
class Call:
    """What a caller's request asks for.

    :param request_id: the caller's id for this attempt.
    :param key: authenticates its team; ``""`` without one.
    :param deadline_s: how long the caller waits; ``None`` if it did not say.
    :param model: the model asked for; ``""`` for plain services.
    :param prompt: the prompt's parts.
    :param prompt_tokens: tokens to read, as the caller counts them.
    :param max_output_tokens: tokens to generate at most.
    :param states_tokens: whether the caller says how many tokens it uses.
    :param resume_after: id of the last event the caller already has.
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

    @property
    def tokens(self) -> int:
        """Memory it may take on an engine, in tokens."""
        return self.prompt_tokens + self.max_output_tokens


@attrs.frozen
class SendOptions:
    """What the router sets on a request it passes on.

    :param upstream_id: the only upstream that may run it.
    :param remaining_s: how long the caller still waits.
    :param team: the team it belongs to; ``""`` for public routes.
    :param cache_salt: scope within which cached parts are shared.
    :param cache_source: address to fetch cached parts from; ``""`` for none.
    :param cache_target: address to send read parts to; ``""`` for none.
    :param expected_version: the only weights that may run it, if any.
    :param engine_priority: 0 (first) to 9; ``None`` for the engine's default.
    :param resume_after: id of the last event already passed on.
    :param resume_run: names the copy of a stopped run's memory to go on from.
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
    """What the head of an upstream's answer says.

    :param is_not_run: the upstream promises that it did not run the request:
        it refused it, or another upstream or other weights answer there.
    :param responding_id: the upstream that answers there, if it says that it is
        not the one expected.
    :param weights_version: the weights that answered, if named.
    :param keep_alive_s: how long the idle connection will stay open, if named.
    :param is_signed: carries the upstream's signature.
    """

    is_not_run: bool
    weights_version: int | None
    keep_alive_s: float | None
    is_signed: bool
    responding_id: str = ""
