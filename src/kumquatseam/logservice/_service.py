"""The interface to the log service and the records it returns.

Every offset here is a position: an offset combined with the era of the log service;
see :mod:`kumquatseam.logservice._positions`.
"""

import abc
import time
from collections.abc import Sequence

import attrs

#: topics with this prefix retain the newest record of each key indefinitely.
KEYED_PREFIX = "keyed."


@attrs.frozen
class LogRecord:
    """One record of a topic.

    :param offset: its position in the topic; offsets start at 0 and have no gaps.
    :param payload: its content.
    """

    offset: int
    payload: bytes


@attrs.frozen
class LogSlice:
    """The result of a read.

    :param first_offset: the oldest offset that the topic still retains.
    :param end_offset: the offset of the next record to be appended.
    :param records: consecutive records from the requested offset on.
    """

    first_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]


@attrs.frozen
class KeyedRecord:
    """The newest record of one key in a keyed topic.

    :param key: the key.
    :param value: its newest value; empty if the key was deleted.
    :param offset: the record's offset.
    """

    key: str
    value: bytes
    offset: int


@attrs.frozen
class KeyedPage:
    """The newest record of each key of a keyed topic.

    :param records: one per key, in key order.
    :param end_offset: the end of the topic when the first page was read.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int


class LogService(abc.ABC):
    """An append-only log of topics, each a sequence of records."""

    def pause(self, pause_s: float) -> None:
        """Wait before a call is retried."""
        time.sleep(pause_s)

    @abc.abstractmethod
    def append(
        self, topic: str, payloads: Sequence[bytes], at: int | None = None
    ) -> int:
        """Append ``payloads`` atomically.

        :param topic: created on first use.
        :param at: append only if the topic ends at this offset.
        :returns: the offset of the first record. It has a later era than ``at`` if the
            service was restored from an older copy that ends at the same offset.
        :raises LogConflictError: if the topic does not end at ``at``.
        :raises LogUnavailableError: if nothing was appended.
        :raises LogAnswerLostError: if it is unknown whether they were appended.
        """

    @abc.abstractmethod
    def read(self, topic: str, from_offset: int, wait_s: float = 0.0) -> LogSlice:
        """Return records from ``from_offset`` on (long poll).

        :param wait_s: how long to wait for a record if the topic ends there.
        :raises LogRecordsExpiredError: if they are no longer retained, or the service
            was restored from an older copy since ``from_offset`` was assigned.
        :raises LogServiceError: if the service did not respond.
        """

    @abc.abstractmethod
    def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key of a keyed topic.

        :raises LogServiceError: if the service did not respond.
        """

    @abc.abstractmethod
    def append_keyed(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int:
        """Append one keyed record; see :meth:`append`."""
