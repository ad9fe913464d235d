"""Following the newest records of a keyed topic."""

import abc
import time
from collections.abc import Callable

import gevent

from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice._errors import LogRecordsExpiredError, LogServiceError
from kumquatseam.logservice._framing import unframe_keyed
from kumquatseam.logservice._service import LogService
from kumquatseam.loops import BackgroundTask

_log = part_logger("watch")

#: pause after a failed call, doubling up to the second figure; calls are
#: limited and priced, also those that are turned away.
RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.5


class KeyedListener(abc.ABC):
    """Takes in what a keyed topic holds."""

    @abc.abstractmethod
    def take_all(self, values: dict[str, bytes]) -> None:
        """Take in the newest value of every key."""

    @abc.abstractmethod
    def take(self, key: str, value: bytes) -> None:
        """Take in one new value; empty when the key was dropped."""


class KeyedWatch(BackgroundTask):
    """Keeps a listener in step with a keyed topic.

    It reads everything once, then only what is new. History that the log no
    longer keeps, or an end that went back, means reading everything again.

    :param log: the log service.
    :param topic: the keyed topic.
    :param listener: takes in the values.
    :param wait_s: how long one read waits for something new; also how long a
        connection that went silent goes unnoticed, at most.
    :param pause_s: pause between two reads, for topics that change all the
        time, where waiting would mean one call a change.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        log: LogService,
        topic: str,
        listener: KeyedListener,
        wait_s: float,
        pause_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._log_service = log
        self._topic = topic
        self._listener = listener
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._clock = clock
        self._next_offset: int | None = None
        self._failures = 0
        self.synced_s: float | None = None

    def _run(self) -> None:
        while True:
            try:
                self.step()
                self._note_success()
            except LogServiceError as error:
                self._note_failure(error)
            except Exception:  # noqa: BLE001 - logged; nobody else would notice
                _log.exception("A record could not be taken in.")
                gevent.sleep(MAX_RETRY_PAUSE_S)

    def step(self) -> None:
        """Make one read and take in what it returns.

        :raises LogServiceError: if the log does not answer.
        """
        if self._next_offset is None:
            self._read_all()
            return
        try:
            found = self._log_service.read(self._topic, self._next_offset, self._wait_s)
        except LogRecordsExpiredError:
            self._next_offset = None
            return
        if found.end_offset < self._next_offset:
            self._next_offset = None
            return
        for record in found.records:
            self._next_offset = record.offset + 1
            self._take(record.payload)
        if self._pause_s:
            gevent.sleep(self._pause_s)

    def _read_all(self) -> None:
        page = self._log_service.newest(self._topic)
        self._listener.take_all({r.key: r.value for r in page.records if r.value})
        self._next_offset = page.end_offset

    def _take(self, payload: bytes) -> None:
        try:
            key, value = unframe_keyed(payload)
        except (CodecError, UnicodeDecodeError) as error:
            _log.bind(topic=self._topic, error=str(error)).warning("Bad record.")
            return
        self._listener.take(key, value)

    def _note_success(self) -> None:
        if self._failures:
            _log.bind(topic=self._topic, failures=self._failures).info(
                "The log answers again."
            )
        self._failures = 0
        self.synced_s = self._clock()

    def _note_failure(self, error: LogServiceError) -> None:
        if not self._failures:
            age_s = None if self.synced_s is None else self._clock() - self.synced_s
            _log.bind(topic=self._topic, error=str(error), age_s=age_s).warning(
                "The log does not answer."
            )
        pause_s = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2**self._failures)
        self._failures += 1
        gevent.sleep(pause_s)
