"""What instances ask each other about what holders keep."""

import attrs

from kumquatseam.prompts import HolderUpdate


@attrs.frozen
class IndexQuestion:
    """Asks an instance for all it knows of what holders keep.

    :param asker: the instance that asks.
    """

    asker: str


@attrs.frozen
class IndexAnswer:
    """All that an instance knows of what holders keep.

    :param holders: each holder whole.
    """

    holders: tuple[HolderUpdate, ...] = ()


#: the classes of this module, by name on the wire.
QUERY_KINDS = {"index_question": IndexQuestion, "index_answer": IndexAnswer}
