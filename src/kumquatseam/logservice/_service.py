"""The interface to the log service and the records it returns.

Every offset here is a position: an offset with the era of the log service, see
:mod:`kumquatseam.logservice._positions`.
"""

import abc
import time
from collections.abc import Sequence

import attrs

#: topics whose name begins so keep the newest record of each key for good.
KEYED_PREFIX = "keyed."


@attrs.frozen
class LogRecord:
    """One record of a topic.

    :param offset: its place in the topic, from 0 without gaps.
    :param payload: its bytes.
    """

    offset: int
    payload: bytes


@attrs.frozen
class LogSlice:
    """What a read returned.

    :param first_offset: the oldest offset the topic still keeps.
    :param end_offset: the offset the next record will get.
    :param records: consecutive records from the offset asked for.
    """

    first_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]


@attrs.frozen
class KeyedRecord:
    """The newest record of one key in a keyed topic.

    :param key: the key.
    :param value: its newest value; empty when the key was dropped.
    :param offset: that record's offset.
    """

    key: str
    value: bytes
    offset: int


@attrs.frozen
class KeyedPage:
    """The newest record of each key of a keyed topic.

    :param records: by key, in key order.
    :param end_offset: where the topic ended when the last page was read.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int


class LogService(abc.ABC):
    """An append-only log of topics, each a sequence of records."""

    def pause(self, pause_s: float) -> None:
        """Wait between two attempts at a call."""
        time.sleep(pause_s)

    @abc.abstractmethod
    def append(
        self, topic: str, payloads: Sequence[bytes], at: int | None = None
    ) -> int:
        """Append ``payloads`` all or nothing.

        :param topic: created on first use.
        :param at: append only if the topic ends at this offset.
        :returns: the offset of the first record. It is of a later era than ``at`` if
            the service returned from a copy meanwhile and happened to end there.
        :raises LogConflictError: if the topic does not end at ``at``.
        :raises LogUnavailableError: if nothing was done.
        :raises LogAnswerLostError: if it may have been done.
        """

    @abc.abstractmethod
    def read(self, topic: str, from_offset: int, wait_s: float = 0.0) -> LogSlice:
        """Return records from ``from_offset`` on, waiting for the first.

        :param wait_s: how long to wait if the topic ends there.
        :raises LogRecordsExpiredError: if they are no longer kept, or the service
            returned from a copy since ``from_offset`` was given out.
        :raises LogServiceError: if the service did not answer.
        """

    @abc.abstractmethod
    def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key of a keyed topic.

        :raises LogServiceError: if the service did not answer.
        """

    @abc.abstractmethod
    def append_keyed(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int:
        """Append one keyed record; see :meth:`append`."""
