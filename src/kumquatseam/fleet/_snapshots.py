"""Snapshots of the warm state in the log service.

The warm state records which KV cache blocks the engines hold. Only the holder
of the lease writes it, at an interval, so the log has one writer whatever the
size of the fleet. The newest record of a keyed topic does not expire, unlike
other records.
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
    """Return the newest warm state in the log, or ``None`` if there is none.

    :raises LogServiceError: if the log did not answer.
    """
    for record in log.newest(WARM_TOPIC).records:
        if record.key == WARM_KEY:
            try:
                return CONTROL_CODEC.decode(record.value)
            except CodecError as error:
                _log.warning("Cannot decode the warm-state snapshot: {}.", error)
    return None


class SnapshotWriter:
    """Writes the warm state while this router holds the lease.

    :param log: the log service.
    :param lease: the lease, which this router may hold.
    :param interval_s: seconds between two snapshots.
    :param read_warm_state: returns this router's warm state.
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
        """Write a snapshot if one is due and this router holds the lease."""
        now_s = self._clock()
        if self._lease.fence is None:
            return
        if self._written_s is not None and now_s - self._written_s < self._interval_s:
            return
        self._written_s = now_s
        try:
            self._write_warm_state()
        except LogServiceError as error:
            _log.warning("Warm-state snapshot not written: {}.", error)

    def _write_warm_state(self) -> None:
        state = self._read_warm_state()
        blocks = sum(len(engine.keys) for engine in state.engines)
        if blocks:
            value = CONTROL_CODEC.encode(state)
            self._log_service.append_keyed(WARM_TOPIC, WARM_KEY, value)
            _log.info("Wrote the warm state blocks={} bytes={}.", blocks, len(value))
