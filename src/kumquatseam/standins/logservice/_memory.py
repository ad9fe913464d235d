"""The stand-in log service in the caller's own process, faults included."""

import contextlib
from collections.abc import Callable, Sequence

from kumquatseam.logservice import (
    KeyedPage,
    KeyedRecord,
    LogAnswerLostError,
    LogConflictError,
    LogRecord,
    LogRecordsExpiredError,
    LogService,
    LogSlice,
    LogUnavailableError,
    check_era,
    frame_keyed,
    offset_of,
    position,
)
from kumquatseam.standins.logservice._faults import LogFaults
from kumquatseam.standins.logservice._store import LogStore


class InMemoryLogService(LogService):
    """A :class:`LogService` straight on a :class:`LogStore`.

    :param store: the records; several services may share one.
    :param faults: what is wrong with it, changed by tests as they go.
    :param sleep: called with the seconds a slow call takes.
    """

    def __init__(
        self,
        store: LogStore,
        faults: LogFaults | None = None,
        sleep: Callable[[float], None] | None = None,
    ) -> None:
        self.store = store
        self.faults = faults or LogFaults()
        self._sleep = sleep or (lambda seconds: None)
        self._late: list[tuple[str, Sequence[bytes], int | None]] = []

    def pause(self, pause_s: float) -> None:
        self._sleep(pause_s)

    def deliver_late(self) -> None:
        """Let the appends that were held up take effect, if they still may."""
        late, self._late = self._late, []
        for topic, payloads, at in late:
            with contextlib.suppress(LogConflictError, LogUnavailableError):
                self._append(topic, payloads, at)

    def append(
        self, topic: str, payloads: Sequence[bytes], at: int | None = None
    ) -> int:
        self._enter()
        if self.faults.take_dropped_append():
            raise LogAnswerLostError("append lost on the way")
        if self.faults.take_late_append():
            self._late.append((topic, payloads, at))
            raise LogAnswerLostError("append held up on the way")
        offset = self._append(topic, payloads, at)
        if self.faults.take_lost_answer():
            raise LogAnswerLostError("answer lost on the way")
        return offset

    def append_keyed(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int:
        return self.append(topic, [frame_keyed(key, value)], at)

    def read(self, topic: str, from_offset: int, wait_s: float = 0.0) -> LogSlice:
        self._enter()
        era = self.store.era
        try:
            found = self.store.read(topic, offset_of(from_offset))
        except LogRecordsExpiredError as error:
            first_offset = position(era, error.first_offset)
            raise LogRecordsExpiredError(topic, first_offset) from error
        check_era(topic, from_offset, era, found.first_offset)
        records = (LogRecord(position(era, r.offset), r.payload) for r in found.records)
        first_offset = position(era, found.first_offset)
        return LogSlice(first_offset, position(era, found.end_offset), tuple(records))

    def newest(self, topic: str) -> KeyedPage:
        self._enter()
        era = self.store.era
        page = self.store.newest(topic)
        records = (
            KeyedRecord(r.key, r.value, position(era, r.offset)) for r in page.records
        )
        return KeyedPage(tuple(records), position(era, page.end_offset))

    def _append(self, topic: str, payloads: Sequence[bytes], at: int | None) -> int:
        era = self.store.era
        offset = None if at is None else offset_of(at)
        try:
            return position(era, self.store.append(topic, payloads, offset))
        except LogConflictError as error:
            end_offset = position(era, error.end_offset)
            raise LogConflictError(topic, end_offset) from error

    def _enter(self) -> None:
        if self.faults.down:
            raise LogUnavailableError("down")
        if self.faults.slow_s:
            self._sleep(self.faults.slow_s)
