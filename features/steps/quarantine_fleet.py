"""Model of router instances and of engines that some requests crash."""

import random

import attrs
from modelled_clock import Clock
from modelled_net import ModelledLink, ModelledNet

from kumquatseam.codec import MessageCodec
from kumquatseam.feeds import TopicCopy
from kumquatseam.logservice import KeyedReader, LogServiceError
from kumquatseam.peers import (
    FleetView,
    InstanceRecord,
    PeerLiveness,
    RendezvousOrder,
    order_key,
)
from kumquatseam.quarantine import (
    DATAGRAM_KINDS,
    SUSPECTS_TOPIC,
    BusNoticeChannel,
    InterruptedRun,
    Liveness,
    PromptParts,
    Quarantine,
    QuarantinedError,
    QuarantineParts,
    RunUpstream,
)
from kumquatseam.standins.logservice import InMemoryLogService, LogFaults, LogStore

CODEC = MessageCodec("datagram", DATAGRAM_KINDS, is_compact=True)
#: time from the start of a crashing request to the crash.
CRASHES_AFTER_S = 0.08
#: time until a crashed engine has restarted, in a new incarnation.
RESTART_S = 3.0
#: time until the crashed incarnation leaves the list.
LIST_EXPIRY_S = 2.5
#: duration of a harmless request, and time until its first event.
RUN_DURATION_S = 1.5
FIRST_EVENT_S = 0.2
#: interval at which instances read the list of suspects, besides broadcasts.
SYNC_INTERVAL_S = 3.0
#: peers from which an instance copies the list if the log service is unreachable.
MAX_SYNC_PEERS = 3
#: interval at which instances drop outdated records and write missing ones.
SWEEP_INTERVAL_S = 2.0
#: pause before a failed write of a record is retried.
RETRY_PAUSE_S = 0.3


class FleetBus:
    """The bus of one instance; delivers its messages to the followers."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.handlers = {}

    @property
    def name(self):
        return self.record.name

    def on_message(self, kind, handler):
        self.handlers[kind] = handler

    def view(self):
        return FleetView(self.fleet.records, self.name, self.fleet.liveness)

    def publish(self, message):
        fleet = self.fleet
        for instance in fleet.running_instances():
            is_follower = self.name in fleet.followed_by(instance)
            if is_follower and fleet.rng.random() >= fleet.notice_loss_ratio:
                handler = instance.bus.handlers[type(message)]
                fleet.net.call_later(
                    0.002, fleet.if_running(instance, handler), message
                )


class ModelledInstance:
    """One router instance; a restart rebuilds its parts."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.faults = LogFaults()
        self.is_up = True
        self.generation = 0
        self.restart()

    def restart(self):
        fleet = self.fleet
        self.generation += 1
        self.is_up = True
        self.bus = FleetBus(fleet, self.record)
        self.link = ModelledLink(fleet.net, self.record.address)
        log = InMemoryLogService(fleet.store, self.faults)
        self.quarantine = Quarantine(
            QuarantineParts(
                self.record.name,
                RendezvousOrder(lambda: fleet.records),
                self.link,
                BusNoticeChannel(self.bus, self.link),
                log,
                fleet.clock,
                fleet.net.wait,
                fleet.probe,
                self._call_later,
                fleet.find_upstream,
                lambda: len(fleet.records),
                fleet.rng.uniform,
            )
        )
        self.copy = TopicCopy(self.quarantine.suspects, fleet.clock)
        self.reader = KeyedReader(log, SUSPECTS_TOPIC)
        writer = self.quarantine.writer
        writer.loop.wake = lambda: self._call_later(0.0005, self._step, writer)
        self.sync()

    def sync(self):
        """Update the list of suspects as a follower of the topic does.

        If the log service is unreachable, the list is copied from peers.
        """
        try:
            self.copy.apply(self.reader.read(self.copy.next_offset))
        except LogServiceError:
            self._sync_from_peers()

    def _sync_from_peers(self):
        others = [
            instance
            for instance in self.fleet.running_instances()
            if instance is not self
        ]
        asked = self.fleet.rng.sample(others, min(MAX_SYNC_PEERS, len(others)))
        known = [
            instance.copy.snapshot() for instance in asked if instance.copy.next_offset
        ]
        if known:
            self.copy.apply(max(known, key=lambda batch: batch.next_offset))

    def _call_later(self, delay_s, function, *arguments):
        guarded = self.fleet.if_running(self, function)
        self.fleet.net.call_later(delay_s, guarded, *arguments)

    def _step(self, writer):
        if writer.step():
            self._call_later(RETRY_PAUSE_S, self._step, writer)


@attrs.define(eq=False)
class Run:
    """A run of a request on an engine."""

    fingerprint: str
    instance: ModelledInstance
    instance_generation: int
    permit: object
    began_s: float
    #: the request, if its prompt has parts.
    sent: object = None


@attrs.define(eq=False)
class Engine:
    """An engine; its start time identifies the incarnation."""

    name: str
    started_ms: int = 1
    is_up: bool = True
    runs: list = attrs.Factory(list)
    #: when this incarnation began.
    began_s: float = 0.0

    @property
    def incarnation_id(self):
        return f"{self.name}@{self.started_ms}"


class QuarantineFleet:
    """Instances, engines, and the requests sent through them."""

    def __init__(self, count, engines, seed=1):
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.net = ModelledNet(self.clock, self.rng, CODEC)
        self.store = LogStore()
        self.notice_loss_ratio = 0.0
        #: delay until instances notice that a run was interrupted.
        self.detection_delay_s = 0.0
        records = [InstanceRecord(f"i{n}", f"10.0.0.{n}:1") for n in range(count)]
        self.records = sorted(records, key=order_key)
        self.engines = [Engine(f"e{n}") for n in range(engines)]
        self._followed_state, self._followed = None, {}
        self.instances = [ModelledInstance(self, record) for record in self.records]
        self.by_name = {instance.record.name: instance for instance in self.instances}
        self.net.endpoints = {
            instance.record.address: instance for instance in self.instances
        }
        for instance in self.instances:
            self.net.call_later(
                self.rng.uniform(0, SYNC_INTERVAL_S), self._sync, instance
            )
            self.net.call_later(
                self.rng.uniform(0, SWEEP_INTERVAL_S), self._sweep, instance
            )
        self.left_list = set()
        self.crashing = set()
        #: times of crashes of, and arrivals at, engines by fingerprint.
        self.crashes = {}
        self.arrivals = {}
        self.refused = []
        self.served = []

    def running_instances(self):
        return [instance for instance in self.instances if instance.is_up]

    def liveness(self, name):
        return PeerLiveness.ALIVE if self.by_name[name].is_up else PeerLiveness.AWAY

    def followed_by(self, instance):
        """Return the names of the peers that an instance follows."""
        state = tuple(s.is_up for s in self.instances)
        if state != self._followed_state:
            self._followed_state, self._followed = state, {}
        if instance not in self._followed:
            followed = instance.bus.view().subscription_targets()
            self._followed[instance] = {record.name for record in followed}
        return self._followed[instance]

    def probe(self, address):
        engine = next(e for e in self.engines if e.name == address)
        return Liveness.ALIVE if engine.is_up else Liveness.ENDED

    def find_upstream(self, incarnation_id):
        """Return a listed engine, as instances know it."""
        if incarnation_id in self.left_list:
            return None
        return RunUpstream(incarnation_id, incarnation_id.partition("@")[0])

    def if_running(self, instance, function):
        """Wrap ``function`` to do nothing once the instance stopped or restarted."""
        generation = instance.generation

        def call(*arguments):
            if instance.is_up and instance.generation == generation:
                function(*arguments)

        return call

    def run(self, seconds):
        self.net.run_until(self.clock() + seconds)

    # Requests.

    def send(self, fingerprint, instance=None, engine=None):
        """Send a request to an instance; return whether it reached an engine."""
        instance = instance or self.rng.choice(self.running_instances())
        try:
            permit = instance.quarantine.admit(fingerprint, 5.0)
        except QuarantinedError as error:
            self.refused.append((self.clock(), fingerprint, error.retry_after_s))
            return False
        engine = engine or self.rng.choice([e for e in self.engines if e.is_up])
        run = Run(fingerprint, instance, instance.generation, permit, self.clock())
        engine.runs.append(run)
        self.arrivals.setdefault(fingerprint, []).append(self.clock())
        if fingerprint in self.crashing:
            self.net.call_later(CRASHES_AFTER_S, self._crash_under, engine, run)
        else:
            self.net.call_later(RUN_DURATION_S, self._finish, engine, run)
        return True

    def _crash_under(self, engine, run):
        if run in engine.runs:
            self.crash(engine)
            self.crashes.setdefault(run.fingerprint, []).append(self.clock())

    def crash(self, engine):
        """Crash an engine, which interrupts all its runs."""
        engine.is_up = False
        runs, engine.runs = engine.runs, []
        for run in runs:
            if (
                run.instance.is_up
                and run.instance.generation == run.instance_generation
            ):
                notify = self.if_running(run.instance, self._notify_interrupted)
                ended_id, age_s = engine.incarnation_id, self.clock() - run.began_s
                delay_s = self.detection_delay_s
                self.net.call_later(delay_s, notify, engine, ended_id, run, age_s)
        self.net.call_later(LIST_EXPIRY_S, self._leave_list, engine.incarnation_id)
        self.net.call_later(RESTART_S, self._start, engine)

    def _leave_list(self, incarnation_id):
        self.left_list.add(incarnation_id)
        for instance in self.running_instances():
            instance.quarantine.note_upstream_gone(incarnation_id, False)

    def _notify_interrupted(self, engine, incarnation_id, run, age_s):
        answering_s = None
        if run.fingerprint not in self.crashing and age_s > FIRST_EVENT_S:
            answering_s = age_s - FIRST_EVENT_S
        broken = self._interrupted(run, incarnation_id, engine.name, answering_s)
        run.instance.quarantine.note_interrupted(broken)

    def _interrupted(self, run, incarnation_id, address, answering_s):
        """Return what an instance knows of a run that ended."""
        is_gone = incarnation_id in self.left_list
        upstream = RunUpstream(incarnation_id, address, is_gone=is_gone)
        permit = run.permit
        return InterruptedRun(
            run.fingerprint,
            upstream,
            answering_s,
            run.fingerprint in permit.tried,
            self.prompt_parts(run),
            permit.watched,
            permit.tried,
        )

    def prompt_parts(self, run):
        """Return the shared parts of a run's prompt."""
        return PromptParts()

    def _start(self, engine):
        engine.started_ms += 1
        engine.began_s = self.clock()
        engine.is_up = True

    def _finish(self, engine, run):
        if run in engine.runs:
            engine.runs.remove(run)
            self.served.append((self.clock(), run.fingerprint))
            if (
                run.instance.is_up
                and run.instance.generation == run.instance_generation
            ):
                run.instance.quarantine.note_served(run.permit.fingerprint)

    # Faults.

    def kill(self, instances):
        for instance in instances:
            instance.is_up = False

    def restart(self, instances):
        for instance in instances:
            instance.restart()

    def late_arrivals(self, fingerprint, late_s):
        """Return the arrivals more than ``late_s`` seconds after the third crash."""
        crashes = self.crashes.get(fingerprint, [])
        if len(crashes) < 3:
            return []
        return [s for s in self.arrivals[fingerprint] if s > crashes[2] + late_s]

    def _sweep(self, instance):
        if instance.is_up:
            instance.quarantine.sweep()
        self.net.call_later(SWEEP_INTERVAL_S, self._sweep, instance)

    def _sync(self, instance):
        if instance.is_up:
            instance.sync()
        self.net.call_later(SYNC_INTERVAL_S, self._sync, instance)
