"""A simulated fleet whose requests are retried within the budget of one service."""

import bisect
import random

import attrs
from limits_world import FaultyNet
from modelled_clock import Clock
from modelled_net import ModelledLink

from kumquatseam import quotas
from kumquatseam.admission import RetryCause
from kumquatseam.codec import MessageCodec
from kumquatseam.gatewayfile import RetrySettings
from kumquatseam.peers import InstanceRecord, RendezvousOrder, order_key
from kumquatseam.quotas import QuotaParts, QuotaShard, RetryBudgets, ShardOwners

CODEC = MessageCodec("datagram", quotas.DATAGRAM_KINDS, is_compact=True)
SERVICE = "engines"
#: the users' bound: in any window, retries up to a share of the requests, and a slack.
RATIO = 0.2
WINDOW_S = 10.0
#: retries that one request may need.
MAX_RETRIES = 2
#: interval of the instances' periodic work.
SWEEP_S = 0.25
#: time before the first request, as between the start of the processes and of traffic.
WARM_UP_S = 12.0
FAULTS = ("crash", "owner crash", "freeze", "owner freeze", "cut", "owner cut")
FLEET_FAULTS = ("halves", "all restart", "roll", "unknown instances")


class RetryInstance:
    """One instance of the fleet; a restart rebuilds all of it."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        #: the instances known to this one; ``None`` for all.
        self.known_records = None
        self.is_list_known = True
        self.is_up = True
        self.start(is_first_start=True)

    def start(self, is_first_start=False):
        self.is_up = True
        self.link = ModelledLink(self.fleet.net, self.record.address)
        fleet = self.fleet
        self.owners = ShardOwners(
            QuotaParts(
                self.record.name,
                lambda: self.known_records or fleet.records,
                self.link,
                are_instances_known=lambda: self.is_list_known,
                clock=fleet.clock,
                wait=fleet.net.wait,
                retries=RetrySettings(RATIO, WINDOW_S, fleet.slack),
                retry_clock=fleet.clock,
                is_first_start=is_first_start,
            )
        )
        self.retries = RetryBudgets(self.owners, lambda: [SERVICE])

    def record_request(self):
        self.retries.record_request(SERVICE)

    def try_retry(self, cause=RetryCause.REFUSED):
        grant = self.retries.acquire(SERVICE, cause, "r")
        if grant is not None:
            self.retries.note_sent(grant)
        return grant is not None

    def sweep(self):
        """Do the periodic work."""
        self.retries.sweep()

    def read_list(self):
        """Learn of all other instances."""
        self.is_list_known = True
        self.known_records = None


class RetryFleet:
    """Instances whose requests need retries while upstreams fail.

    :param count: number of instances.
    :param slack: retries beyond the share that the whole fleet may make in a window.
    """

    def __init__(self, count, slack=54, seed=1):
        self.slack = slack
        self.clock = Clock()
        self.draw = random.Random(seed)
        self.net = FaultyNet(self.clock, self.draw, CODEC)
        self.records = tuple(
            sorted(
                (
                    InstanceRecord(f"i{n}", f"10.0.{n // 250}.{n % 250}:1", "", 10.0)
                    for n in range(count)
                ),
                key=order_key,
            )
        )
        self.instances = {}
        for record in self.records:
            self.instances[record.name] = RetryInstance(self, record)
        self.net.endpoints = {i.record.address: i for i in self.instances.values()}
        self.requested_s = []
        self.retried_s = []
        #: retries that the budget refused.
        self.refused_s = []
        #: share of the attempts that fail.
        self.failing_share = 0.0
        self._sweep()
        self.run(WARM_UP_S)

    def owners(self, number=0, shards=1):
        """Return the owners of the budget, in order."""
        order = RendezvousOrder(lambda: self.records)
        key = QuotaShard(SERVICE, number, shards, is_retry_budget=True).key
        return [self.instances[record.name] for record in order.owners_of(key)]

    # Load.

    def offer(self, per_s, for_s):
        """Schedule requests at random times, at random instances."""
        at_s = 0.0
        while (at_s := at_s + self.draw.expovariate(per_s)) < for_s:
            self.net.call_later(at_s, self._arrive)

    def _arrive(self):
        up = [i for i in self.instances.values() if i.is_up]
        if up:
            instance = self.draw.choice(up)
            self.requested_s.append(self.clock())
            self.net.spawn_at(instance.record.address, self._serve, instance)

    def _serve(self, instance):
        instance.record_request()
        for _ in range(MAX_RETRIES):
            if not instance.is_up or self.draw.random() >= self.failing_share:
                return
            if not instance.try_retry():
                self.refused_s.append(self.clock())
                return
            self.retried_s.append(self.clock())

    def _sweep(self):
        for instance in self.instances.values():
            if instance.is_up and not self.net.frozen_for_s(instance.record.address):
                self.net.spawn_at(instance.record.address, instance.sweep)
        self.net.call_later(SWEEP_S, self._sweep)

    def run(self, for_s):
        self.net.run_until(self.clock() + for_s)

    # Faults.

    def crash(self, instance, for_s, list_read_s=0.5):
        """End an instance, and start it again later."""
        instance.is_up = False
        self.net.call_later(for_s, self.restart, instance, list_read_s)

    def restart(self, instance, list_read_s=0.5):
        """Start an instance that does not know the others for a while."""
        instance.start()
        instance.is_list_known = False
        self.net.call_later(list_read_s, instance.read_list)

    def roll(self, at_once=2, pause_s=1.0, for_s=1.5):
        """Restart all instances, some at a time."""
        for number, instance in enumerate(self.instances.values()):
            delay_s = number // at_once * pause_s
            self.net.call_later(delay_s, self.crash, instance, for_s)

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

    # Results.

    def allowed_from(self, from_s):
        """Return the most retries allowed in the window that begins at ``from_s``."""
        windows = (from_s, from_s - WINDOW_S, from_s - WINDOW_S / 2)
        most = max(_count(self.requested_s, at_s) for at_s in windows)
        return RATIO * most + self.slack

    def worst_window(self):
        """Return the retries in the worst window, and those that it allows."""
        windows = [
            (_count(self.retried_s, at_s), self.allowed_from(at_s))
            for at_s in self.retried_s
        ]
        return max(windows, key=lambda w: w[0] - w[1], default=(0, self.slack))

    def used_share(self, from_s):
        """Return the retries of a window, as a share of those that it allows."""
        return _count(self.retried_s, from_s) / self.allowed_from(from_s)


def _count(times, from_s):
    return bisect.bisect_left(times, from_s + WINDOW_S) - bisect.bisect_left(
        times, from_s
    )


@attrs.frozen
class FleetFault:
    """A fault of a random run.

    :param at_s: when it happens.
    :param kind: one of :data:`FAULTS` or :data:`FLEET_FAULTS`.
    :param for_s: its duration.
    :param count: number of instances that it affects.
    """

    at_s: float
    kind: str
    for_s: float
    count: int


def play(count, seed, duration_s=34.0):
    """Play a random run with faults; return the fleet for inspection."""
    draw = random.Random(seed)
    fleet = RetryFleet(count, draw.choice((20, 54, 200)), seed)
    fleet.net.loss = draw.choice((0.0, 0.0, 0.02, 0.1))
    fleet.net.duplication = draw.choice((0.0, 0.02))
    fleet.failing_share = draw.choice((0.3, 0.6, 0.95))
    busy_s = draw.choice((duration_s, duration_s, 12.0))
    fleet.offer(draw.choice((20, 60, 150)), busy_s)
    faults = sorted(
        (
            FleetFault(
                draw.uniform(1.0, duration_s - 8.0),
                draw.choice(FAULTS + FLEET_FAULTS),
                draw.uniform(0.3, 6.0),
                draw.choice((1, 1, 2, 3)),
            )
            for _ in range(draw.randint(1, 6))
        ),
        key=lambda fault: fault.at_s,
    )
    now_s = 0.0
    for fault in faults:
        fleet.run(fault.at_s - now_s)
        now_s = fault.at_s
        _apply(fleet, draw, fault)
    fleet.run(duration_s - now_s)
    return fleet


def _apply(fleet, draw, fault):
    instances = list(fleet.instances.values())
    if fault.kind == "halves":
        for instance in instances[::2]:
            fleet.cut(instance, "half", fault.for_s)
    elif fault.kind == "all restart":
        for instance in instances:
            fleet.crash(instance, fault.for_s / 4)
    elif fault.kind == "roll":
        fleet.roll(max(fault.count, len(instances) // 10))
    elif fault.kind == "unknown instances":
        for instance in draw.sample(instances, max(1, len(instances) // 3)):
            others = [r for r in fleet.records if r != instance.record]
            known = draw.sample(others, max(0, len(others) - 2))
            fleet.hide_others(instance, known, fault.for_s)
    else:
        _fail_some(fleet, draw, fault, instances)


def _fail_some(fleet, draw, fault, instances):
    failing = draw.sample(instances, max(1, len(instances) // 5))
    if fault.kind.startswith("owner"):
        failing = fleet.owners()[: fault.count]
    for instance in failing:
        if fault.kind.endswith("crash"):
            fleet.crash(instance, fault.for_s)
        elif fault.kind.endswith("freeze"):
            fleet.freeze(instance, fault.for_s)
        else:
            fleet.cut(instance, instance.record.name, fault.for_s)
