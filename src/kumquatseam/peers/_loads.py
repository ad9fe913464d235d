"""Broadcast of the requests that each instance has on upstreams."""

import abc
import time
from collections.abc import Callable

import attrs

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import LoadSummary, PresenceHeartbeat, UpstreamLoad
from kumquatseam.peers._order import FleetView
from kumquatseam.prompts import HolderUpdate, PromptIndex
from kumquatseam.upstreams import AnnouncedLimits, LimitReport, UpstreamDirectory

#: a summary older than this is dropped, since its sender is away.
STALE_AFTER_S = 1.0
#: seconds between two summaries while nothing changes.
HEARTBEAT_S = 0.25
#: seconds between two steps of an instance that publishes nothing.
STANDBY_PAUSE_S = 1.0
#: seconds between two summaries under load: a minimum, and the pause per instance.
#: The pause grows with the fleet, so that each instance receives at most 300
#: messages a second at any size.
MIN_PAUSE_S = 0.02
PAUSE_PER_PEER_S = 0.0033
#: prompts in one summary, 60 bytes each. Only a burst exceeds this, and then the
#: oldest are sent first.
MAX_PREFILLS = 32


@attrs.frozen
class _Sum:
    """Sum of the requests on one upstream."""

    running: int = 0
    pending_tokens: int = 0

    def plus(self, load: UpstreamLoad, sign: int) -> "_Sum":
        return _Sum(
            self.running + sign * load.running,
            self.pending_tokens + sign * load.pending_tokens,
        )


_NO_LOAD = _Sum()


class _Totals:
    """Sums over the loads of several senders, updated incrementally."""

    def __init__(self) -> None:
        self._loads_by_sender: dict[str, tuple[float, tuple[UpstreamLoad, ...]]] = {}
        self._sums: dict[str, _Sum] = {}

    def put(self, sender: str, loads: tuple[UpstreamLoad, ...], now_s: float) -> None:
        """Replace the loads of ``sender``."""
        _, previous = self._loads_by_sender.get(sender, (0.0, ()))
        self._add(previous, -1)
        self._loads_by_sender[sender] = (now_s, loads)
        self._add(loads, 1)

    def expire(self, oldest_s: float) -> None:
        """Drop loads that were put before ``oldest_s``."""
        for sender, (put_s, loads) in list(self._loads_by_sender.items()):
            if put_s < oldest_s:
                self._add(loads, -1)
                del self._loads_by_sender[sender]

    def for_upstream(self, incarnation_id: str) -> _Sum:
        """Return the sum over all senders for an upstream."""
        return self._sums.get(incarnation_id, _NO_LOAD)

    def _add(self, loads: tuple[UpstreamLoad, ...], sign: int) -> None:
        for load in loads:
            total = self._sums.get(load.incarnation_id, _NO_LOAD).plus(load, sign)
            if total == _NO_LOAD:
                self._sums.pop(load.incarnation_id, None)
            else:
                self._sums[load.incarnation_id] = total


class HolderUpdateExchange(abc.ABC):
    """Source and sink of updates about what upstreams hold."""

    @abc.abstractmethod
    def pop_unsent_updates(self) -> list[HolderUpdate]:
        """Return updates not yet sent to the other instances, and drop them here."""

    @abc.abstractmethod
    def apply_update(self, update: HolderUpdate) -> None:
        """Apply an update that another instance sent."""


class _NullExchange(HolderUpdateExchange):
    def pop_unsent_updates(self) -> list[HolderUpdate]:
        return []

    def apply_update(self, update: HolderUpdate) -> None:
        pass


class LoadExchange:
    """Publishes this instance's loads and sums up those of others, in a small fleet.

    In a large fleet broadcasting to everyone costs too much: loads are queried
    there (``trackers``), and coordinators publish only heartbeats.

    :param bus: carries the summaries.
    :param directory: counts this instance's own requests.
    :param index: source of this instance's prefills and sink of those of peers.
    :param clock: monotonic clock in seconds.
    :param holder_updates: source and sink of updates about what upstreams hold.
    :param limits: source and sink of the limits that upstreams announced.
    """

    def __init__(
        self,
        bus: PeerBus,
        directory: UpstreamDirectory,
        index: PromptIndex,
        clock: Callable[[], float] = time.monotonic,
        holder_updates: HolderUpdateExchange | None = None,
        limits: AnnouncedLimits | None = None,
    ) -> None:
        self._holder_updates = holder_updates or _NullExchange()
        self._bus = bus
        self._directory = directory
        self._index = index
        self._clock = clock
        self._limits = limits or AnnouncedLimits()
        self._limits_published_s = float("-inf")
        self._limits.on_change(self._publish_limits_soon)
        self._totals = _Totals()
        self._published_s = float("-inf")
        self._published_requests = -1
        bus.on_message(LoadSummary, self.apply_summary)
        bus.on_message(PresenceHeartbeat, lambda presence: None)

    def step(self) -> None:
        """Publish this instance's loads, or a heartbeat, if one is due."""
        now_s = self._clock()
        self._totals.expire(now_s - STALE_AFTER_S)
        view = self._bus.view()
        if now_s - self._published_s < self._pause_s(view):
            return
        self._published_s = now_s
        if view.is_full_mesh:
            self._publish_loads()
        elif view.is_coordinator:
            self._bus.publish(PresenceHeartbeat(self._bus.name))

    def next_step_s(self) -> float:
        """Return the seconds until the next step may have to publish."""
        view = self._bus.view()
        if view.is_full_mesh:
            return MIN_PAUSE_S
        return HEARTBEAT_S if view.is_coordinator else STANDBY_PAUSE_S

    def _publish_loads(self) -> None:
        self._published_requests = self._directory.requests_sent
        self._bus.publish(
            LoadSummary(
                self._bus.name,
                tuple(
                    UpstreamLoad(s.upstream.incarnation_id, s.running, s.pending_tokens)
                    for s in self._directory.all()
                    if s.running
                ),
                tuple(self._index.pop_unsent_prefills(MAX_PREFILLS)),
                tuple(self._holder_updates.pop_unsent_updates()),
                self._limits_to_publish(),
            )
        )

    def _limits_to_publish(self) -> tuple[LimitReport, ...]:
        """Return the limits if one changed or they were last sent long ago.

        They are repeated for instances that have just started.
        """
        now_s = self._clock()
        if now_s - self._limits_published_s < HEARTBEAT_S:
            return ()
        self._limits_published_s = now_s
        return tuple(map(self._limits.report_of, self._limits.limited()))

    def _publish_limits_soon(self, _: str) -> None:
        self._limits_published_s = self._published_s = float("-inf")

    def count_instances(self) -> int:
        """Return the number of instances, including this one.

        In a small fleet these are the live instances. In a large one no instance
        receives messages from all others, so these are the registered instances.
        """
        view = self._bus.view()
        return (
            len(self._bus.live_peers()) + 1 if view.is_full_mesh else len(view.records)
        )

    def apply_summary(self, summary: LoadSummary) -> None:
        """Apply another instance's summary."""
        self._totals.put(summary.sender, summary.loads, self._clock())
        for prefill in summary.reads:
            self._index.note_peer_prefill(prefill)
        for update in summary.held:
            self._holder_updates.apply_update(update)
        for report in summary.limits:
            self._limits.merge_report(report)

    def on_upstream(self, incarnation_id: str) -> UpstreamLoad:
        """Return the sum of the other instances' loads on an upstream."""
        total = self._totals.for_upstream(incarnation_id)
        return UpstreamLoad(incarnation_id, total.running, total.pending_tokens)

    def _pause_s(self, view: FleetView) -> float:
        is_idle = self._directory.requests_sent == self._published_requests
        if is_idle or not view.is_full_mesh:
            return HEARTBEAT_S
        return max(MIN_PAUSE_S, PAUSE_PER_PEER_S * self.count_instances())
