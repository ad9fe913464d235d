"""Sharing the requests that instances have on upstreams."""

import abc
import collections
import time
from collections.abc import Callable, Iterable

import attrs

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import FleetSummary, LoadSummary, UpstreamLoad
from kumquatseam.prompts import HolderUpdate, PromptIndex, PromptRead
from kumquatseam.upstreams import UpstreamDirectory

#: a summary older than this no longer counts: its sender is away.
STALE_AFTER_S = 1.0
#: seconds between two summaries while nothing changes.
HEARTBEAT_S = 0.25
#: seconds between two summaries while requests come, and what each instance
#: that listens adds to them, so that hearing all costs the same at any size:
#: 300 messages a second in a fleet without leaders, 600 for a leader.
MIN_PAUSE_S = 0.02
PAUSE_PER_PEER_S = 0.0033
PAUSE_PER_FOLLOWER_S = 0.0016
#: prompts told in one summary at most, 60 bytes each; more are new only in a
#: burst, and then the oldest are told first.
MAX_READS = 32
#: a leader tells all that came since its last summary: 32 of sixty instances.
MAX_FLEET_READS = 512
#: news of what upstreams keep that a leader tells at a time.
MAX_FLEET_HELD = 128
#: a leader whose summaries are younger than this is not stood in for.
LEADER_FRESH_S = 0.5
#: own requests sent to a leader this recently are not in its totals yet: twice
#: the way there.
ECHO_S = 0.004
#: own summaries remembered to be taken off a leader's totals.
MAX_ECHOES = 64


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

    def clear(self) -> None:
        """Drop everything."""
        self._parts.clear()
        self._sums.clear()

    def on(self, incarnation_id: str) -> _Sum:
        """Return what all have on an upstream."""
        return self._sums.get(incarnation_id, _NOTHING)

    def all(self) -> Iterable[tuple[str, _Sum]]:
        """Return what all have on each upstream."""
        return self._sums.items()

    def _add(self, loads: tuple[UpstreamLoad, ...], sign: int) -> None:
        for load in loads:
            found = self._sums.get(load.incarnation_id, _NOTHING).plus(load, sign)
            if found == _NOTHING:
                self._sums.pop(load.incarnation_id, None)
            else:
                self._sums[load.incarnation_id] = found


class HeldNews(abc.ABC):
    """Where news of what upstreams keep comes from and goes to."""

    @abc.abstractmethod
    def take_fresh(self) -> list[HolderUpdate]:
        """Return what the other instances were not yet told."""

    @abc.abstractmethod
    def take_update(self, update: HolderUpdate) -> None:
        """Take in what another instance tells."""


class _NoNews(HeldNews):
    def take_fresh(self) -> list[HolderUpdate]:
        return []

    def take_update(self, update: HolderUpdate) -> None:
        pass


class LoadExchange:
    """Publishes own loads and adds up those of others.

    In a large fleet only the leaders hear every instance; they tell the totals.

    :param bus: carries the summaries.
    :param directory: knows this instance's own requests.
    :param index: knows what upstreams read, and is told what peers gave them.
    :param clock: monotonic clock in seconds.
    :param held_news: what upstreams say that they keep.
    """

    def __init__(
        self,
        bus: PeerBus,
        directory: UpstreamDirectory,
        index: PromptIndex,
        clock: Callable[[], float] = time.monotonic,
        held_news: HeldNews | None = None,
    ) -> None:
        self._held_news = held_news or _NoNews()
        self._held: collections.deque[HolderUpdate] = collections.deque(
            maxlen=MAX_FLEET_HELD
        )
        self._bus = bus
        self._directory = directory
        self._index = index
        self._clock = clock
        self._totals = _Totals()
        self._echoes: collections.deque = collections.deque(maxlen=MAX_ECHOES)
        self._reads: collections.deque[PromptRead] = collections.deque(
            maxlen=MAX_FLEET_READS
        )
        self._published_s = float("-inf")
        self._published_changes = -1
        self._leader_place = 0
        self._leader_s = float("-inf")
        self._fleet_size = 1
        bus.on_message(LoadSummary, self.take)
        bus.on_message(FleetSummary, self.take_fleet)

    def step(self) -> None:
        """Publish this instance's loads if it is time to."""
        now_s = self._clock()
        self._totals.expire(now_s - STALE_AFTER_S)
        view = self._bus.view()
        if now_s - self._published_s < self._pause_s(view.is_leader):
            return
        self._published_s = now_s
        self._published_changes = self._directory.changes
        own = LoadSummary(
            self._bus.name,
            tuple(
                UpstreamLoad(s.upstream.incarnation_id, s.running, s.pending_tokens)
                for s in self._directory.all()
                if s.running
            ),
            tuple(self._index.take_fresh(MAX_READS)),
            tuple(self._held_news.take_fresh()),
        )
        if view.is_leader:
            self._bus.publish(self._fleet_summary(own, now_s))
        else:
            self._echoes.append((now_s, own.loads))
            self._bus.publish(own)

    def count_instances(self) -> int:
        """Return how many instances are alive, this one included."""
        view = self._bus.view()
        if view.is_direct or view.is_leader:
            return len(self._bus.heard()) + 1
        return max(self._fleet_size, len(self._bus.heard()) + 1)

    def take(self, summary: LoadSummary) -> None:
        """Take in another instance's loads."""
        self._totals.put(summary.sender, summary.loads, self._clock())
        for read in summary.reads:
            self._index.note_peer_read(read)
            self._reads.append(read)
        for update in summary.held:
            self._held_news.take_update(update)
            self._held.append(update)

    def take_fleet(self, summary: FleetSummary) -> None:
        """Take in what a leader tells."""
        now_s = self._clock()
        if self._bus.view().is_leader:
            self.take(summary.own)
            if summary.totals is not None and self._comes_before(summary.own.sender):
                self._leader_s = now_s
            return
        for read in summary.reads:
            self._index.note_peer_read(read)
        for update in summary.held:
            self._held_news.take_update(update)
        if summary.totals is None:
            return
        self._fleet_size = summary.instances
        own = self._own_echo(now_s)
        others = tuple(self._without(load, own) for load in summary.totals)
        self._totals.clear()
        self._totals.put(summary.own.sender, others, now_s)

    def on_upstream(self, incarnation_id: str) -> UpstreamLoad:
        """Return what others have on an upstream, added up."""
        found = self._totals.on(incarnation_id)
        return UpstreamLoad(incarnation_id, found.running, found.pending_tokens)

    def _pause_s(self, is_leader: bool) -> float:
        if self._directory.changes == self._published_changes and not is_leader:
            return HEARTBEAT_S
        size = self.count_instances()
        is_direct = self._bus.view().is_direct
        per_peer_s = PAUSE_PER_PEER_S if is_direct else PAUSE_PER_FOLLOWER_S
        return max(MIN_PAUSE_S, per_peer_s * size)

    def _fleet_summary(self, own: LoadSummary, now_s: float) -> FleetSummary:
        """Return what this leader tells; totals only if no leader before does."""
        instances = self.count_instances()
        if now_s - self._leader_s < LEADER_FRESH_S:
            self._reads.clear()
            self._held.clear()
            return FleetSummary(own, instances)
        sums = dict(self._totals.all())
        for load in own.loads:
            found = sums.get(load.incarnation_id, _NOTHING)
            sums[load.incarnation_id] = found.plus(load, 1)
        totals = tuple(
            UpstreamLoad(incarnation_id, found.running, found.pending_tokens)
            for incarnation_id, found in sums.items()
        )
        reads = (*self._reads, *own.reads)
        held = (*self._held, *own.held)
        self._reads.clear()
        self._held.clear()
        return FleetSummary(own, instances, totals, reads, held)

    def _comes_before(self, name: str) -> bool:
        """Return whether an instance stands before this one in the order."""
        names = [record.name for record in self._bus.view().records]
        return name in names and names.index(name) < names.index(self._bus.name)

    def _own_echo(self, now_s: float) -> dict[str, UpstreamLoad]:
        """Return own loads as a leader knew them when it told its totals."""
        known: tuple[UpstreamLoad, ...] = ()
        for sent_s, loads in self._echoes:
            if sent_s > now_s - ECHO_S:
                break
            known = loads
        return {load.incarnation_id: load for load in known}

    @staticmethod
    def _without(load: UpstreamLoad, own: dict[str, UpstreamLoad]) -> UpstreamLoad:
        mine = own.get(load.incarnation_id)
        if mine is None:
            return load
        return UpstreamLoad(
            load.incarnation_id,
            max(0, load.running - mine.running),
            max(0, load.pending_tokens - mine.pending_tokens),
        )
