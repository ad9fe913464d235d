"""The stand-in log service in the caller's own process, faults included."""

import contextlib
from collections.abc import Callable, Sequence

from kumquatseam.logservice import (
    KeyedPage,
    LogAnswerLostError,
    LogConflictError,
    LogService,
    LogSlice,
    LogUnavailableError,
    frame_keyed,
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
                self.store.append(topic, payloads, at)

    def append(
        self, topic: str, payloads: Sequence[bytes], at: int | None = None
    ) -> int:
        self._enter()
        if self.faults.take_dropped_append():
            raise LogAnswerLostError("append lost on the way")
        if self.faults.take_late_append():
            self._late.append((topic, payloads, at))
            raise LogAnswerLostError("append held up on the way")
        offset = self.store.append(topic, payloads, at)
        if self.faults.take_lost_answer():
            raise LogAnswerLostError("answer lost on the way")
        return offset

    def append_keyed(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int:
        return self.append(topic, [frame_keyed(key, value)], at)

    def read(self, topic: str, from_offset: int, wait_s: float = 0.0) -> LogSlice:
        self._enter()
        return self.store.read(topic, from_offset)

    def newest(self, topic: str) -> KeyedPage:
        self._enter()
        return self.store.newest(topic)

    def _enter(self) -> None:
        if self.faults.down:
            raise LogUnavailableError("down")
        if self.faults.slow_s:
            self._sleep(self.faults.slow_s)
