"""Updates about the prompt parts that engines and stores hold."""

import attrs

from kumquatseam.prompts._chain import PromptPart


@attrs.frozen
class PromptPrefill:
    """Shared prompt parts of a request that was just sent to an engine.

    :param incarnation_id: the incarnation of the engine.
    :param salt: the cache salt; only requests with the same salt share cached parts.
    :param parts: the shared parts, in prompt order.
    :param kept_at: address of the store that the engine copies them to; ``""`` for
        none.
    """

    incarnation_id: str
    salt: str
    parts: tuple[PromptPart, ...]
    kept_at: str = ""


@attrs.frozen
class HeldPart:
    """How much of a part a holder has cached.

    :param salt: the cache salt.
    :param part_id: the part.
    :param tokens: number of its tokens in the cache; 0 if it was evicted.
    """

    salt: str
    part_id: str
    tokens: int


@attrs.frozen
class HolderUpdate:
    """A holder's own report of its cached parts, forwarded by the polling instance.

    :param holder: an engine's incarnation, or a store's address.
    :param epoch: changes whenever the holder restarts.
    :param next_number: sequence number of the holder's next cache event.
    :param parts: the changed parts, or all of them.
    :param is_whole: whether ``parts`` is a full snapshot of the cache.
    """

    holder: str
    epoch: int
    next_number: int
    parts: tuple[HeldPart, ...] = ()
    is_whole: bool = False
