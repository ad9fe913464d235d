"""Snapshots of the warm state in the log service.

The duty's holder writes what it knows of engines' caches at an interval, so
a fleet of any size costs the log one writer. Records expire, the newest
record of a keyed topic does not.
"""

import time
from collections.abc import Callable

from kumquatseam.errors import CodecError
from kumquatseam.fleet._messages import CONTROL_CODEC, WarmState
from kumquatseam.leases import DutyLease
from kumquatseam.logs import part_logger
from kumquatseam.logservice import KEYED_PREFIX, LogService, LogServiceError

_log = part_logger("snapshot")

WARM_TOPIC = f"{KEYED_PREFIX}kumquatseam.warm"
WARM_KEY = "warm"


def read_warm_state(log: LogService) -> WarmState | None:
    """Return the newest warm state kept, if there is one.

    :raises LogServiceError: if the log did not answer.
    """
    for record in log.newest(WARM_TOPIC).records:
        if record.key == WARM_KEY:
            try:
                return CONTROL_CODEC.decode(record.value)
            except CodecError as error:
                _log.warning("Cannot read the warm state: {}.", error)
    return None


class SnapshotWriter:
    """Writes the warm state while this router holds the duty.

    :param log: the log service.
    :param lease: this router's part in the duty.
    :param interval_s: seconds between two snapshots.
    :param read_warm_state: returns what this router knows of caches.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        log: LogService,
        lease: DutyLease,
        interval_s: float,
        read_warm_state: Callable[[], WarmState],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log_service = log
        self._lease = lease
        self._interval_s = interval_s
        self._read_warm_state = read_warm_state
        self._clock = clock
        self._written_s: float | None = None

    def step(self) -> None:
        """Write what is due, if this router holds the duty."""
        now_s = self._clock()
        if self._lease.fence is None:
            return
        if self._written_s is not None and now_s - self._written_s < self._interval_s:
            return
        self._written_s = now_s
        try:
            self._write_warm_state()
        except LogServiceError as error:
            _log.warning("Not written: {}.", error)

    def _write_warm_state(self) -> None:
        state = self._read_warm_state()
        blocks = sum(len(engine.keys) for engine in state.engines)
        if blocks:
            value = CONTROL_CODEC.encode(state)
            self._log_service.append_keyed(WARM_TOPIC, WARM_KEY, value)
            _log.info("Wrote the warm state blocks={} bytes={}.", blocks, len(value))
