"""Whether this instance has a path of its own to the upstreams."""

import time
from collections.abc import Callable

import attrs

from kumquatseam.http1 import ConnectionWatch
from kumquatseam.logs import part_logger

_log = part_logger("path")

#: upstreams in a row to which no connection can be opened before the path is suspected:
#: a single one may have ended.
MIN_FAILED_UPSTREAMS = 2
#: failures count for this long.
FAILURE_TTL_S = 5.0
#: no upstream sends anything for this long, although several have to: engines stream
#: events every few ten milliseconds, and a single upstream may pause for a second.
SILENT_AFTER_S = 1.0
#: upstreams are probed after this long without anything from any of them, so that the
#: probes have timed out when the path counts as silent.
QUIET_AFTER_S = 0.6


@attrs.define
class _Waiting:
    """A request on a connection of this instance's own that waits for bytes.

    :param address: the upstream.
    :param since_s: since when.
    """

    address: str
    since_s: float


class DirectPath(ConnectionWatch):
    """Tells whether this instance has lost its path to the upstreams.

    It is suspected when several upstreams in a row cannot be connected to, or when
    several have to respond and none of all upstreams sends anything. It counts as lost
    once another instance reaches an upstream that this one does not reach, and as
    restored by the first response to a probe.

    :param count_upstreams: returns the number of listed upstreams.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        count_upstreams: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._count_upstreams = count_upstreams
        self._clock = clock
        self._failed_s: dict[str, float] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._heard_s = clock()
        self._on_change: list[Callable[[bool], None]] = []
        self.is_lost = False
        self.lost_count = 0

    def on_change(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener`` with whether the path is lost, after each change."""
        self._on_change.append(listener)

    @property
    def fails_to_connect(self) -> bool:
        """Whether several upstreams in a row could not be connected to."""
        oldest_s = self._clock() - FAILURE_TTL_S
        failed = sum(at_s >= oldest_s for at_s in self._failed_s.values())
        return failed >= min(MIN_FAILED_UPSTREAMS, max(1, self._count_upstreams()))

    @property
    def is_silent(self) -> bool:
        """Whether several upstreams have to respond and nothing arrives from any."""
        return self._is_silent_for(SILENT_AFTER_S)

    @property
    def is_quiet(self) -> bool:
        """Whether it may become silent soon."""
        return self._is_silent_for(QUIET_AFTER_S)

    def _is_silent_for(self, for_s: float) -> bool:
        now_s = self._clock()
        if now_s - self._heard_s < for_s:
            return False
        silent = {
            waiting.address
            for waiting in self._waiting.values()
            if now_s - waiting.since_s >= for_s
        }
        return len(silent) >= min(MIN_FAILED_UPSTREAMS, max(1, self._count_upstreams()))

    @property
    def is_suspect(self) -> bool:
        """Whether failures may be the path's and not the upstreams'."""
        return self.is_lost or self.fails_to_connect or self.is_silent

    def note_failed(self, address: str) -> None:
        """Record that a new connection of this instance's own failed."""
        self._failed_s[address] = self._clock()

    def has_failed(self, address: str) -> bool:
        """Return whether the newest connection to an upstream failed lately."""
        failed_s = self._failed_s.get(address)
        return failed_s is not None and self._clock() - failed_s < FAILURE_TTL_S

    def note_sent(self, connection: object, address: str) -> None:
        self._waiting[id(connection)] = _Waiting(address, self._clock())

    def note_received(self, connection: object, is_first: bool) -> None:
        self._heard_s = self._clock()
        if is_first:
            # Connections that were open before tell nothing about new ones.
            self._failed_s.clear()
        self._waiting.pop(id(connection), None)

    def note_closed(self, connection: object) -> None:
        self._waiting.pop(id(connection), None)

    def note_relayed(self) -> None:
        """Record that another instance reaches an upstream that this one does not."""
        if not self.is_lost:
            self.lost_count += 1
            self._change(True)

    def note_probe_answered(self) -> None:
        """Record that an upstream responded on a connection of this instance's own."""
        self._heard_s = self._clock()
        self._failed_s.clear()
        if self.is_lost:
            self._change(False)

    def _change(self, is_lost: bool) -> None:
        self.is_lost = is_lost
        _log.bind(failed=sorted(self._failed_s), waiting=len(self._waiting)).warning(
            "Path to the upstreams lost." if is_lost else "Path to the upstreams back."
        )
        for listener in self._on_change:
            listener(is_lost)
