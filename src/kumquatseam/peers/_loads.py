"""Sharing the requests that instances have on upstreams."""

import abc
import time
from collections.abc import Callable

import attrs

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import LoadSummary, Presence, UpstreamLoad
from kumquatseam.peers._order import FleetView
from kumquatseam.prompts import HolderUpdate, PromptIndex
from kumquatseam.upstreams import UpstreamDirectory

#: a summary older than this no longer counts: its sender is away.
STALE_AFTER_S = 1.0
#: seconds between two summaries while nothing changes.
HEARTBEAT_S = 0.25
#: seconds between two looks of an instance that has nothing to tell.
STANDBY_PAUSE_S = 1.0
#: seconds between two summaries while requests come, and what each instance
#: that listens adds to them, so that hearing all costs the same at any size:
#: 300 messages a second.
MIN_PAUSE_S = 0.02
PAUSE_PER_PEER_S = 0.0033
#: prompts told in one summary at most, 60 bytes each; more are new only in a
#: burst, and then the oldest are told first.
MAX_READS = 32


@attrs.frozen
class _Sum:
    """Requests on one upstream, added up."""

    running: int = 0
    pending_tokens: int = 0

    def plus(self, load: UpstreamLoad, sign: int) -> "_Sum":
        return _Sum(
            self.running + sign * load.running,
            self.pending_tokens + sign * load.pending_tokens,
        )


_NOTHING = _Sum()


class _Totals:
    """Loads of several senders, added up as they come."""

    def __init__(self) -> None:
        self._parts: dict[str, tuple[float, tuple[UpstreamLoad, ...]]] = {}
        self._sums: dict[str, _Sum] = {}

    def put(self, sender: str, loads: tuple[UpstreamLoad, ...], now_s: float) -> None:
        """Replace what ``sender`` has."""
        _, before = self._parts.get(sender, (0.0, ()))
        self._add(before, -1)
        self._parts[sender] = (now_s, loads)
        self._add(loads, 1)

    def expire(self, oldest_s: float) -> None:
        """Drop what was put before ``oldest_s``."""
        for sender, (put_s, loads) in list(self._parts.items()):
            if put_s < oldest_s:
                self._add(loads, -1)
                del self._parts[sender]

    def on(self, incarnation_id: str) -> _Sum:
        """Return what all have on an upstream."""
        return self._sums.get(incarnation_id, _NOTHING)

    def _add(self, loads: tuple[UpstreamLoad, ...], sign: int) -> None:
        for load in loads:
            found = self._sums.get(load.incarnation_id, _NOTHING).plus(load, sign)
            if found == _NOTHING:
                self._sums.pop(load.incarnation_id, None)
            else:
                self._sums[load.incarnation_id] = found


class HolderUpdateExchange(abc.ABC):
    """Where news of what upstreams keep comes from and goes to."""

    @abc.abstractmethod
    def take_fresh(self) -> list[HolderUpdate]:
        """Return what the other instances were not yet told."""

    @abc.abstractmethod
    def take_update(self, update: HolderUpdate) -> None:
        """Take in what another instance tells."""


class _NoNews(HolderUpdateExchange):
    def take_fresh(self) -> list[HolderUpdate]:
        return []

    def take_update(self, update: HolderUpdate) -> None:
        pass


class LoadExchange:
    """Publishes own loads and adds up those of others, in a small fleet.

    In a large one nobody could hear everyone: loads are asked for there
    (``trackers``), and leaders only let the others know that they are there.

    :param bus: carries the summaries.
    :param directory: knows this instance's own requests.
    :param index: knows what upstreams read, and is told what peers gave them.
    :param clock: monotonic clock in seconds.
    :param holder_updates: what upstreams say that they keep.
    """

    def __init__(
        self,
        bus: PeerBus,
        directory: UpstreamDirectory,
        index: PromptIndex,
        clock: Callable[[], float] = time.monotonic,
        holder_updates: HolderUpdateExchange | None = None,
    ) -> None:
        self._held_news = holder_updates or _NoNews()
        self._bus = bus
        self._directory = directory
        self._index = index
        self._clock = clock
        self._totals = _Totals()
        self._published_s = float("-inf")
        self._published_changes = -1
        bus.on_message(LoadSummary, self.take)
        bus.on_message(Presence, lambda presence: None)

    def step(self) -> None:
        """Publish this instance's loads if it is time to."""
        now_s = self._clock()
        self._totals.expire(now_s - STALE_AFTER_S)
        view = self._bus.view()
        if now_s - self._published_s < self._pause_s(view):
            return
        self._published_s = now_s
        if view.is_full_mesh:
            self._publish_loads()
        elif view.is_coordinator:
            self._bus.publish(Presence(self._bus.name))

    def next_step_s(self) -> float:
        """Return how long until the next step may have something to do."""
        view = self._bus.view()
        if view.is_full_mesh:
            return MIN_PAUSE_S
        return HEARTBEAT_S if view.is_coordinator else STANDBY_PAUSE_S

    def _publish_loads(self) -> None:
        self._published_changes = self._directory.requests_sent
        self._bus.publish(
            LoadSummary(
                self._bus.name,
                tuple(
                    UpstreamLoad(s.upstream.incarnation_id, s.running, s.pending_tokens)
                    for s in self._directory.all()
                    if s.running
                ),
                tuple(self._index.pop_unsent_prefills(MAX_READS)),
                tuple(self._held_news.take_fresh()),
            )
        )

    def count_instances(self) -> int:
        """Return how many instances there are, this one included.

        In a small fleet those that are alive; in a large one nobody hears all, so
        those that are registered.
        """
        view = self._bus.view()
        return len(self._bus.heard()) + 1 if view.is_full_mesh else len(view.records)

    def take(self, summary: LoadSummary) -> None:
        """Take in another instance's loads."""
        self._totals.put(summary.sender, summary.loads, self._clock())
        for read in summary.reads:
            self._index.note_peer_prefill(read)
        for update in summary.held:
            self._held_news.take_update(update)

    def on_upstream(self, incarnation_id: str) -> UpstreamLoad:
        """Return what others have on an upstream, added up."""
        found = self._totals.on(incarnation_id)
        return UpstreamLoad(incarnation_id, found.running, found.pending_tokens)

    def _pause_s(self, view: FleetView) -> float:
        is_quiet = self._directory.requests_sent == self._published_changes
        if is_quiet or not view.is_full_mesh:
            return HEARTBEAT_S
        return max(MIN_PAUSE_S, PAUSE_PER_PEER_S * self.count_instances())
