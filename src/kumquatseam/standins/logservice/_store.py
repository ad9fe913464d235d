"""The log service's records: topics, offsets, retention and the append limit."""

import collections
import copy
import time
from collections.abc import Callable, Sequence

import attrs

from kumquatseam.logservice import (
    KEYED_PREFIX,
    KeyedPage,
    KeyedRecord,
    LogConflictError,
    LogRecord,
    LogRecordsExpiredError,
    LogSlice,
    LogUnavailableError,
    unframe_keyed,
)


@attrs.frozen
class LogStoreLimits:
    """Bounds the log service keeps.

    :param appends_per_s: appends accepted a second; more are refused.
    :param retention_s: records older than this expire (keyed topics keep the
        newest record of each key).
    """

    appends_per_s: int = 400
    retention_s: float = 300.0


@attrs.define
class _Topic:
    first_offset: int = 0
    payloads: collections.deque = attrs.Factory(collections.deque)
    appended_s: collections.deque = attrs.Factory(collections.deque)
    newest: dict[str, KeyedRecord] = attrs.Factory(dict)

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.payloads)


class LogStore:
    """Topics of records in memory.

    :param limits: its bounds.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        limits: LogStoreLimits | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limits = limits or LogStoreLimits()
        self._clock = clock
        self._topics: dict[str, _Topic] = collections.defaultdict(_Topic)
        self._recent_appends: collections.deque = collections.deque()
        self.appends = 0
        #: rises by one with each return from a copy.
        self.era = 0

    def copy_topics(self) -> dict[str, _Topic]:
        """Return a copy to return from later."""
        return copy.deepcopy(self._topics)

    def return_from(self, topics: dict[str, _Topic]) -> None:
        """Go on from a copy: what was written since is lost."""
        self._topics = copy.deepcopy(topics)
        self.era += 1

    def append(
        self, topic: str, payloads: Sequence[bytes], at: int | None = None
    ) -> int:
        """Append under the limits.

        :raises LogUnavailableError: past the append limit.
        :raises LogConflictError: if the topic does not end at ``at``.
        """
        now_s = self._clock()
        self._check_rate(now_s)
        found = self._topics[topic]
        if at is not None and found.end_offset != at:
            raise LogConflictError(topic, found.end_offset)
        offset = found.end_offset
        for payload in payloads:
            if topic.startswith(KEYED_PREFIX):
                self._keep_newest(found, payload)
            found.payloads.append(bytes(payload))
            found.appended_s.append(now_s)
        self.appends += 1
        return offset

    def read(self, topic: str, from_offset: int) -> LogSlice:
        """Return the records from ``from_offset`` on.

        :raises LogRecordsExpiredError: if they have expired.
        """
        found = self._topics[topic]
        self._expire(found)
        if not found.first_offset <= from_offset <= found.end_offset:
            raise LogRecordsExpiredError(topic, found.first_offset)
        skipped = from_offset - found.first_offset
        records = tuple(
            LogRecord(found.first_offset + index, found.payloads[index])
            for index in range(skipped, len(found.payloads))
        )
        return LogSlice(found.first_offset, found.end_offset, records)

    def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        found = self._topics[topic]
        records = tuple(found.newest[key] for key in sorted(found.newest))
        return KeyedPage(records, found.end_offset)

    def _check_rate(self, now_s: float) -> None:
        recent = self._recent_appends
        while recent and now_s - recent[0] >= 1.0:
            recent.popleft()
        if len(recent) >= self.limits.appends_per_s:
            raise LogUnavailableError("append limit reached")
        recent.append(now_s)

    def _keep_newest(self, found: _Topic, payload: bytes) -> None:
        key, value = unframe_keyed(payload)
        if value:
            found.newest[key] = KeyedRecord(key, value, found.end_offset)
        else:
            found.newest.pop(key, None)

    def _expire(self, found: _Topic) -> None:
        oldest_s = self._clock() - self.limits.retention_s
        while found.appended_s and found.appended_s[0] < oldest_s:
            found.appended_s.popleft()
            found.payloads.popleft()
            found.first_offset += 1
