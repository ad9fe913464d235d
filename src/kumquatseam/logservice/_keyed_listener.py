"""Interface for applying the values of a keyed topic."""

import abc

import attrs


@attrs.frozen
class ChangeContext:
    """Circumstances in which a change was read.

    :param is_initial: part of the first read of the topic, so written at an unknown
        time; otherwise the value is new.
    :param outage_age_s: how long ago the log was last unreachable; ``None`` if
        not recently.
    :param is_restored: the log was restored from an older copy: the value may be
        older than the known one, and a missing key may have been lost rather than
        deleted.
    :param unseen_s: a new value may have been written up to this long before it was
        read, because this process was suspended or no instance read the log.
    """

    is_initial: bool = False
    outage_age_s: float | None = None
    is_restored: bool = False
    unseen_s: float = 0.0


class KeyedListener(abc.ABC):
    """Applies the values of a keyed topic."""

    @abc.abstractmethod
    def apply(self, key: str, value: bytes, change_context: ChangeContext) -> bool:
        """Apply a new value; empty if the key was deleted.

        :returns: whether it changed anything. If not, the value is not forwarded to
            other instances, and after a restore of the log from an older copy it
            does not replace the previous value.
        """

    def note_synced(self) -> None:  # noqa: B027 - optional hook
        """Note that all values up to the end of the topic were applied."""
