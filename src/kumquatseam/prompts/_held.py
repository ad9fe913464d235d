"""What is told of the parts that engines and stores hold."""

import attrs

from kumquatseam.prompts._chain import PromptPart


@attrs.frozen
class PromptPrefill:
    """Prompt parts that an engine was just given to read.

    :param incarnation_id: the incarnation of an engine.
    :param salt: the scope of its cached parts.
    :param parts: the parts that requests may share, in prompt order.
    :param kept_at: address of the store that the engine sends them to; ``""``
        for none.
    """

    incarnation_id: str
    salt: str
    parts: tuple[PromptPart, ...]
    kept_at: str = ""


@attrs.frozen
class HeldPart:
    """How much of a part a holder keeps within one scope.

    :param salt: the scope.
    :param part_id: the part.
    :param tokens: tokens kept now; 0 if it was dropped.
    """

    salt: str
    part_id: str
    tokens: int


@attrs.frozen
class HolderUpdate:
    """What one holder said of the parts it keeps, told by whoever asked it.

    :param holder: an engine's incarnation, or a store's address.
    :param epoch: changes whenever the holder restarts.
    :param next_number: the number of its next event.
    :param parts: what changed, or everything.
    :param is_whole: whether it keeps nothing else.
    """

    holder: str
    epoch: int
    next_number: int
    parts: tuple[HeldPart, ...] = ()
    is_whole: bool = False
