"""A fleet whose instances query trackers over simulated datagrams."""

import random

import attrs
from decision_world import build_request
from modelled_clock import Clock
from modelled_net import ModelledLink, ModelledNet

from kumquatseam.codec import MessageCodec
from kumquatseam.peers import InstanceRecord, RendezvousOrder, order_key
from kumquatseam.placement import Placer
from kumquatseam.prompts import PromptIndex
from kumquatseam.trackers import (
    TRACKER_KINDS,
    LoadTracker,
    TrackerClient,
    WorkBegan,
)
from kumquatseam.trackers.tracked_work import TrackedWork
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)

CODEC = MessageCodec("datagram", TRACKER_KINDS, is_compact=True)
DURATION_S = 5.0


class ModelledInstance:
    """One instance; a restart rebuilds its components."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.is_up = True
        self.restart()

    def restart(self):
        fleet = self.fleet
        self.link = ModelledLink(fleet.net, self.record.address)
        self.index = PromptIndex(fleet.clock)
        self.tracker = LoadTracker(self.record.name, self.index, fleet.clock)
        self.order = RendezvousOrder(lambda: fleet.records)
        self.client = TrackerClient(
            self.record.name,
            self.order,
            self.link,
            self.tracker,
            fleet.clock,
            fleet.net.wait,
        )
        self.directory = UpstreamDirectory(fleet.clock)
        for upstream in fleet.upstreams:
            self.directory.put(upstream)
        self.work = TrackedWork(
            self.client, self.directory, self.record.name, fleet.clock, fleet.draw
        )
        targets = WeightsTargets(fleet.clock)
        self.placer = Placer(
            self.directory, self.index, "z", targets, clock=fleet.clock, work=self.work
        )
        self.running = []


class TrackedFleet:
    def __init__(self, count, engines, fast, seed=1):
        self.clock = Clock()
        self.draw = random.Random(seed)
        self.net = ModelledNet(self.clock, self.draw, CODEC)
        weights = (WeightsVersion("m0", 1),)
        self.upstreams = [
            Upstream(f"e{n}", "engines", "127.0.0.1:1", slots=24, weights=weights)
            for n in range(engines)
        ]
        records = [
            InstanceRecord(
                f"i{n}", f"10.0.0.{n}:1", link_mbps=200.0 if n < fast else 20.0
            )
            for n in range(count)
        ]
        self.records = sorted(records, key=order_key)
        self.instances = [ModelledInstance(self, record) for record in self.records]
        self.net.endpoints = {
            instance.record.address: instance for instance in self.instances
        }
        self.placed = []
        self.unplaced = 0
        self.max_placement_s = 0.0

    def up(self):
        return [instance for instance in self.instances if instance.is_up]

    def place(self, number, prefix=None, ends=False, max_wait_s=float("inf")):
        """Place a request at a random instance; return the placement."""
        instance = self.draw.choice(self.up())
        request = build_request(prefix or f"o{number}", f"x{number}")
        placed_s = self.clock()
        placement = instance.placer.place(attrs.evolve(request, max_wait_s=max_wait_s))
        self.max_placement_s = max(self.max_placement_s, self.clock() - placed_s)
        if placement is None:
            self.unplaced += 1
            return None
        in_flight_request = instance.work.begin(placement.request_work(DURATION_S))
        self.run(0.004)
        self.placed.append((instance, placement, in_flight_request))
        if ends:
            in_flight_request.note_answering()
            in_flight_request.end()
            self.run(0.004)
            self.placed.pop()
        return placement

    def run(self, seconds):
        self.net.run_until(self.clock() + seconds)

    def true_running(self, engine):
        return sum(
            placement.status.upstream.incarnation_id == engine
            for _, placement, _ in self.placed
        )

    def tracked_running(self, engine):
        """Return the requests that the engine's preferred tracker counts on it."""
        return self.first_tracker(engine).tracker._in_flight.totals_on(engine).running

    def first_tracker(self, engine):
        record = RendezvousOrder(lambda: self.records).owners_of(engine)[0]
        return self.net.endpoints[record.address]

    def counted_requests(self):
        return {
            instance.record.name: len(instance.tracker._in_flight)
            for instance in self.instances
            if instance.is_up and self._unexpired_count(instance)
        }

    def _unexpired_count(self, instance):
        for upstream in self.upstreams:
            instance.tracker._in_flight.totals_on(upstream.incarnation_id)
        return len(instance.tracker._in_flight)


def work_began(number, holder, pending=0, own=1000, lasts_s=DURATION_S):
    return WorkBegan(f"w{number}", holder, "1", (), pending, own, int(lasts_s * 1000))
