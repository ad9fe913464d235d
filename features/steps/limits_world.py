"""A simulated fleet in front of engines that announce limits."""

import bisect
import collections
import math
import random

import attrs
import greenlet
from decision_world import build_request
from modelled_clock import Clock
from modelled_fibers import FiberNet
from modelled_net import ModelledLink

from kumquatseam import quotas
from kumquatseam.codec import MessageCodec
from kumquatseam.errors import OverloadedError
from kumquatseam.peers import (
    MESSAGE_KINDS,
    FleetView,
    InstanceRecord,
    LoadExchange,
    PeerLiveness,
    RendezvousOrder,
    order_key,
)
from kumquatseam.placement import BroadcastWork, LimitedPlacer, Placer
from kumquatseam.prompts import PromptIndex
from kumquatseam.quotas import (
    CallerRetry,
    QuotaParts,
    QuotaShard,
    ShardOwners,
    UpstreamLimitError,
    UpstreamLimits,
    UpstreamPlaces,
)
from kumquatseam.trackers import (
    TRACKER_KINDS,
    LoadTracker,
    TrackerClient,
)
from kumquatseam.trackers.tracked_work import TrackedWork
from kumquatseam.upstreams import (
    NO_LIMIT_PER_S,
    AnnouncedLimits,
    Brittleness,
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)

CODEC = MessageCodec(
    "datagram",
    {
        **TRACKER_KINDS,
        **quotas.DATAGRAM_KINDS,
        **{f"bus {name}": kind for name, kind in MESSAGE_KINDS.items()},
    },
    is_compact=True,
)
#: length of the window in which the users count requests, and what they allow in it.
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_SLACK = 5
#: an instance counts from this long after it passed on an answer with the limit.
TOLD_AFTER_S = 0.5
#: interval of the steps that publish loads in a small fleet.
STEP_S = 0.02
#: shortest and longest time to the head of an engine's response.
MIN_ANSWER_S = 0.03
MAX_ANSWER_S = 0.4
#: longest time that callers obey a Retry-After.
MAX_RETRY_AFTER_S = 1.6
#: a caller's network delay before its retry arrives.
CALLER_DELAY_S = 0.003


def allowed_in_window(rate_per_s):
    """Return the most requests that an engine may get in any window."""
    return ALLOWED_RATIO * rate_per_s * WINDOW_S + ALLOWED_SLACK


class FaultyNet(FiberNet):
    """A modelled network whose instances can stand still or be cut off.

    What a frozen instance would have received or done happens when it runs again.
    """

    def __init__(self, clock, draw, codec):
        super().__init__(clock, draw, codec)
        #: when frozen instances run again, by address.
        self.frozen_until_s = {}
        #: group of each address; instances of different groups cannot communicate.
        self.groups = {}
        self.addresses_of_fibers = {}

    def spawn_at(self, address, function, *arguments):
        """Run a request of the instance at ``address``, once it is not frozen."""
        wait_s = self.frozen_for_s(address)
        if wait_s:
            self.call_later(wait_s, self.spawn_at, address, function, *arguments)
            return
        self.spawn(self._run_at, address, function, *arguments)

    def frozen_for_s(self, address):
        """Return for how long an instance still stands still."""
        return max(0.0, self.frozen_until_s.get(address, 0.0) - self.clock())

    def send(self, sender, address, message):
        if self.groups.get(sender) == self.groups.get(address):
            super().send(sender, address, message)

    def _run_at(self, address, function, *arguments):
        current = greenlet.getcurrent()
        self.addresses_of_fibers[current] = address
        try:
            function(*arguments)
        finally:
            del self.addresses_of_fibers[current]

    def _deliver(self, address, sender, data):
        wait_s = self.frozen_for_s(address)
        if wait_s:
            self.call_later(wait_s, self._deliver, address, sender, data)
        else:
            super()._deliver(address, sender, data)

    def _resume(self, current, event):
        wait_s = self.frozen_for_s(self.addresses_of_fibers.get(current, ""))
        if wait_s:
            self.call_later(wait_s, self._resume, current, event)
        else:
            super()._resume(current, event)


class ModelledBus:
    """The bus of a small fleet: what one instance publishes reaches all others."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.name = record.name
        self.handlers = {}

    def on_message(self, kind, handler):
        self.handlers[kind] = handler

    def publish(self, message):
        for record in self.fleet.records:
            if record.name != self.name:
                self.fleet.net.send(self.record.address, record.address, message)

    def view(self):
        return FleetView(self.fleet.records, self.name, lambda _: PeerLiveness.ALIVE)

    def live_peers(self):
        return [r for r in self.fleet.records if r.name != self.name]


@attrs.define
class Arrival:
    """A request that reached an engine.

    :param at_s: when it arrived.
    :param is_told: whether the instance that sent it had passed on an answer with the
        limit half a second before or earlier.
    """

    at_s: float
    is_told: bool


class LimitedEngine:
    """An engine that may announce a limit.

    :param upstream: its entry in the list.
    """

    def __init__(self, upstream):
        self.upstream = upstream
        self.rate_per_s = NO_LIMIT_PER_S
        #: the announced rates and since when they apply.
        self.rates = []
        self.arrivals = []

    def announce(self, rate_per_s, now_s):
        self.rate_per_s = rate_per_s
        self.rates.append((now_s, rate_per_s))

    def worst_excess(self, from_s=-math.inf, to_s=math.inf, are_all_counted=False):
        """Return the most requests beyond the allowed ones in any window.

        A window counts if the same limit applied from a second before its begin until
        its end.

        :param are_all_counted: whether requests count of instances that had not been
            told of the limit.
        """
        counted = [a.at_s for a in self.arrivals if a.is_told or are_all_counted]
        times = sorted(counted)
        worst = -allowed_in_window(NO_LIMIT_PER_S)
        for number, at_s in enumerate(times):
            end_s = at_s + WINDOW_S
            rate = self._steady_rate(at_s - 1.0, end_s)
            if from_s <= at_s and end_s <= to_s and rate < NO_LIMIT_PER_S:
                count = bisect.bisect_left(times, end_s) - number
                worst = max(worst, count - allowed_in_window(rate))
        return worst

    def _steady_rate(self, from_s, to_s):
        """Return the highest rate announced at any time in a window."""
        rate = NO_LIMIT_PER_S
        for since_s, announced in self.rates:
            if since_s <= from_s:
                rate = announced
            elif since_s < to_s:
                rate = max(rate, announced)
        return rate


@attrs.define
class CallerRequest:
    """A request of a caller.

    :param key: what it has in common with its retry.
    :param team: its team.
    :param is_retry: whether it is the retry of a refused request.
    :param at_s: when it arrived.
    :param outcome: ``served``, ``refused``, ``overloaded`` or ``none``.
    :param took_s: time until it was sent or refused.
    :param is_reserved: whether a place was reserved for its retry.
    :param retry_after_s: the delay that its caller was told.
    """

    key: str
    team: str
    is_retry: bool
    at_s: float
    outcome: str = "pending"
    took_s: float = 0.0
    is_reserved: bool = False
    retry_after_s: float = 0.0


class LimitInstance:
    """One instance of the fleet; a restart rebuilds all of it."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        #: the instances known to this one; ``None`` for all.
        self.known_records = None
        self.is_list_known = True
        self.is_up = True
        self.start()

    def start(self):
        fleet, name = self.fleet, self.record.name
        self.is_up = True
        self.generation = object()
        #: when it first passed on an answer with a limit, by engine.
        self.told_s = {}
        self.link = ModelledLink(fleet.net, self.record.address)
        self.announced = AnnouncedLimits(fleet.clock)
        self.owners = ShardOwners(
            QuotaParts(
                name,
                lambda: self.known_records or fleet.records,
                self.link,
                are_instances_known=lambda: self.is_list_known,
                clock=fleet.clock,
                wait=fleet.net.wait,
                limits=self.announced,
            )
        )
        self.directory = UpstreamDirectory(fleet.clock)
        for engine in fleet.engines.values():
            self.directory.put(engine.upstream)
        self.places = UpstreamPlaces(
            self.owners, Brittleness(self.announced), self.directory
        )
        self.limits = UpstreamLimits(self.owners, places=self.places)
        index = PromptIndex(fleet.clock)
        self.work = self._build_work(index)
        self.free_placer = Placer(
            self.directory,
            index,
            "z",
            WeightsTargets(fleet.clock),
            clock=fleet.clock,
            work=self.work,
            limits=self.limits,
        )

    def read_list(self):
        """Learn of all other instances."""
        self.is_list_known = True
        self.known_records = None

    def _build_work(self, index):
        fleet, name = self.fleet, self.record.name
        if fleet.is_small:
            self.bus = ModelledBus(fleet, self.record)
            self.loads = LoadExchange(
                self.bus, self.directory, index, fleet.clock, limits=self.announced
            )
            self.link.handlers.update(
                {
                    kind: lambda message, _, handle=handle: handle(message)
                    for kind, handle in self.bus.handlers.items()
                }
            )
            return BroadcastWork(self.directory, index, self.loads.on_upstream)
        tracker = LoadTracker(
            name,
            index,
            fleet.clock,
            self.announced,
            self.owners.used_up_s,
            self.places.report_of,
        )
        order = RendezvousOrder(lambda: self.known_records or fleet.records)
        client = TrackerClient(
            name,
            order,
            self.link,
            tracker,
            fleet.clock,
            fleet.net.wait,
            self.owners.calls.unresponsive,
        )
        return TrackedWork(
            client,
            self.directory,
            name,
            fleet.clock,
            fleet.draw,
            lambda load: self.limits.note_tracked(
                load.holder, load.limit, load.used_up_ms / 1000.0, load.brittle
            ),
        )

    def serve(self, request, retries):
        """Place and send a request, as the gateway does."""
        fleet = self.fleet
        began_s = fleet.clock()
        placed = build_request(f"o{request.key}", request.key)
        try:
            placer = LimitedPlacer(self.free_placer, self.limits, fleet.clock)
            granted = placer.place(placed, CallerRetry(request.key, MAX_RETRY_AFTER_S))
        except UpstreamLimitError as error:
            request.outcome = "refused"
            request.is_reserved = error.is_reserved
            request.retry_after_s = error.retry_after_s
            fleet.handle_refusal(request, retries)
        except OverloadedError:
            request.outcome = "overloaded"
        else:
            request.outcome = "served" if granted is not None else "none"
            if granted is not None:
                self._send(granted.placement)
        request.took_s = fleet.clock() - began_s

    def _send(self, placement):
        fleet, sent_s = self.fleet, self.fleet.clock()
        incarnation_id = placement.status.upstream.incarnation_id
        in_flight = self.work.begin(placement.request_work(5.0))
        arrived_s = fleet.draw.uniform(0.0005, 0.002)
        answered_s = arrived_s + fleet.draw.uniform(MIN_ANSWER_S, MAX_ANSWER_S)
        generation, answers = self.generation, []
        fleet.net.call_later(arrived_s, fleet.arrive, incarnation_id, self)
        fleet.net.call_later(
            answered_s,
            lambda: answers.extend(fleet.announced_rate(incarnation_id)),
        )
        fleet.net.call_later(
            answered_s + 0.001,
            self._handle_answer,
            generation,
            in_flight,
            incarnation_id,
            answers,
            sent_s,
        )

    def _handle_answer(self, generation, in_flight, incarnation_id, answers, sent_s):
        wait_s = self.fleet.net.frozen_for_s(self.record.address)
        if wait_s:
            arguments = (generation, in_flight, incarnation_id, answers, sent_s)
            self.fleet.net.call_later(wait_s, self._handle_answer, *arguments)
        elif self.is_up and generation is self.generation:
            in_flight.note_answering()
            in_flight.end()
            for rate_per_s in answers:
                if rate_per_s < NO_LIMIT_PER_S:
                    self.told_s.setdefault(incarnation_id, self.fleet.clock())
                self.limits.observe(incarnation_id, rate_per_s, sent_s)

    def step(self):
        if self.is_up and not self.fleet.net.frozen_for_s(self.record.address):
            self.loads.step()


class LimitFleet:
    """Instances in front of engines that announce limits.

    :param count: number of instances.
    :param engine_count: number of engines.
    """

    instance_class = LimitInstance

    def __init__(self, count, engine_count, seed=1):
        self.is_small = count <= 12
        self.clock = Clock()
        self.draw = random.Random(seed)
        self.net = FaultyNet(self.clock, self.draw, CODEC)
        self.engines = {}
        #: with those that ended.
        self.all_engines = []
        for number in range(engine_count):
            self._add_engine(f"e{number}")
        records = (
            InstanceRecord(f"i{n}", f"10.0.{n // 250}.{n % 250}:1", "", 10.0)
            for n in range(count)
        )
        self.records = tuple(sorted(records, key=order_key))
        self.instances = {r.name: self.instance_class(self, r) for r in self.records}
        self.net.endpoints = {i.record.address: i for i in self.instances.values()}
        self.requests = []
        if self.is_small:
            self._step()

    def _add_engine(self, name):
        weights = (WeightsVersion("m0", 1),)
        upstream = Upstream(name, "engines", "127.0.0.1:1", slots=48, weights=weights)
        self.engines[name] = LimitedEngine(upstream)
        self.all_engines.append(self.engines[name])

    def replace_engine(self, name, successor):
        """Start a new incarnation of an engine at the same address."""
        self.engines.pop(name)
        self._add_engine(successor)
        for instance in self.instances.values():
            instance.directory.remove(name)
            instance.limits.forget(name)
            instance.directory.put(self.engines[successor].upstream)

    def owners_of(self, engine):
        """Return the owners of an engine's limit, in order."""
        order = RendezvousOrder(lambda: self.records)
        key = QuotaShard(engine, is_upstream=True).key
        return [self.instances[record.name] for record in order.owners_of(key)]

    # Faults.

    def crash(self, instance, for_s, list_read_s=0.0):
        """End an instance, and start it again later."""
        instance.is_up = False
        self.net.call_later(for_s, self.restart, instance, list_read_s)

    def restart(self, instance, list_read_s=0.0):
        """Start an instance that does not know the others for a while."""
        instance.start()
        instance.is_list_known = False
        self.net.call_later(list_read_s, instance.read_list)

    def freeze(self, instance, for_s):
        """Suspend an instance."""
        self.net.frozen_until_s[instance.record.address] = self.clock() + for_s

    def cut(self, instance, group, for_s):
        """Cut an instance off from all that are not in the same group."""
        address = instance.record.address
        self.net.groups[address] = group
        self.net.call_later(for_s, self.net.groups.pop, address, None)

    def hide_others(self, instance, known_records, for_s):
        """Have an instance know only itself and some others."""
        known = {*known_records, instance.record}
        instance.known_records = tuple(r for r in self.records if r in known)
        self.net.call_later(for_s, instance.read_list)

    def announce(self, names, rate_per_s):
        for name in names:
            self.engines[name].announce(rate_per_s, self.clock())

    def announced_rate(self, incarnation_id):
        """Return the rate that an engine announces now; none if it ended."""
        engine = self.engines.get(incarnation_id)
        return [engine.rate_per_s] if engine is not None else []

    def arrive(self, incarnation_id, instance):
        engine = self.engines.get(incarnation_id)
        if engine is not None:
            told_s = instance.told_s.get(incarnation_id, math.inf)
            is_told = told_s + TOLD_AFTER_S <= self.clock()
            engine.arrivals.append(Arrival(self.clock(), is_told))

    def offer(self, per_s, for_s, retries=0, team="t"):
        """Schedule requests at random times, at random instances."""
        at_s, end_s = 0.0, for_s
        while True:
            at_s += self.draw.expovariate(per_s)
            if at_s >= end_s:
                return
            key = f"{team}-{self.draw.getrandbits(48):x}"
            self.net.call_later(at_s, self._arrive_at_instance, key, team, retries)

    def handle_refusal(self, request, retries):
        if retries:
            delay_s = min(request.retry_after_s, MAX_RETRY_AFTER_S) + CALLER_DELAY_S
            arguments = (request.key, request.team, retries - 1, True)
            self.net.call_later(delay_s, self._arrive_at_instance, *arguments)

    def _arrive_at_instance(self, key, team, retries, is_retry=False):
        up = [i for i in self.instances.values() if i.is_up]
        if not up:
            return
        instance = self.draw.choice(up)
        request = CallerRequest(key, team, is_retry, self.clock())
        self.requests.append(request)
        self.net.spawn_at(instance.record.address, instance.serve, request, retries)

    def _step(self):
        for instance in self.instances.values():
            instance.step()
        self.net.call_later(STEP_S, self._step)

    def run(self, for_s):
        self.net.run_until(self.clock() + for_s)

    def outcomes(self):
        return collections.Counter(request.outcome for request in self.requests)
