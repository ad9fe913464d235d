"""What takes in the values of a keyed topic."""

import abc

import attrs


@attrs.frozen
class ChangeContext:
    """How a value was learnt.

    :param is_initial: it was written at an unknown time before; otherwise it is
        new.
    :param outage_age_s: how long ago the log was last out of reach; ``None`` if
        not lately.
    :param is_restored: the log returned from an older copy: the value may be older
        than the one known, and a dropped key may be lost.
    :param unseen_s: what is new may have been written this long before it was
        learnt: this instance stood still, or nobody read the log.
    """

    is_initial: bool = False
    outage_age_s: float | None = None
    is_restored: bool = False
    unseen_s: float = 0.0


class KeyedListener(abc.ABC):
    """Takes in what a keyed topic holds."""

    @abc.abstractmethod
    def apply(self, key: str, value: bytes, change_context: ChangeContext) -> bool:
        """Take in a new value; empty when the key was dropped.

        :returns: whether it changed anything; what did not is not passed on to
            other instances, and after a return of the log from a copy does not take
            the place of the value before.
        """

    def note_synced(self) -> None:  # noqa: B027 - most listeners need not know
        """Note that everything the topic held a moment ago was taken in."""
