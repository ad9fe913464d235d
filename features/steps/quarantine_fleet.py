"""A fleet before engines that some requests crash, in modelled time."""

import random

import attrs
from modelled_clock import Clock
from modelled_net import ModelledLink, ModelledNet

from kumquatseam.codec import MessageCodec
from kumquatseam.feeds import TopicCopy
from kumquatseam.logservice import KeyedReader, LogServiceError
from kumquatseam.peers import (
    FleetView,
    Hearing,
    InstanceRecord,
    RendezvousOrder,
    order_key,
)
from kumquatseam.quarantine import (
    DATAGRAM_KINDS,
    SUSPECTS_TOPIC,
    BrokenRun,
    BusNoticeChannel,
    Liveness,
    Quarantine,
    QuarantinedError,
    QuarantineParts,
    RunUpstream,
)
from kumquatseam.standins.logservice import InMemoryLogService, LogFaults, LogStore

CODEC = MessageCodec("datagram", DATAGRAM_KINDS, is_compact=True)
#: how far a request gets with an engine that it crashes.
CRASHES_AFTER_S = 0.08
#: how long an engine takes to start again, in another incarnation.
RESTART_S = 3.0
#: and how long its entry stays on the list.
LAPSE_S = 2.5
#: how long a harmless request runs, and when its first event comes.
RUNS_S = 1.5
FIRST_EVENT_S = 0.2
#: instances read the list of suspects this often, if they hear of nothing sooner.
SYNC_S = 3.0
#: instances asked for what they know.
MAX_ASKED = 3
#: and see this often what is to be forgotten or written.
SWEEP_S = 2.0
#: pause before a record is tried again to be written.
RETRY_S = 0.3


class FleetBus:
    """The bus of one instance: those that follow it hear it."""

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
        return FleetView(self.fleet.records, self.name, self.fleet.hearing)

    def publish(self, message):
        fleet = self.fleet
        for side in fleet.up():
            hears = self.name in fleet.followed_by(side)
            if hears and fleet.draw.random() >= fleet.lost_notices:
                handler = side.bus.handlers[type(message)]
                fleet.net.call_later(0.002, fleet.if_up(side, handler), message)


class Side:
    """One instance; a restart makes its parts anew."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.faults = LogFaults()
        self.is_up = True
        self.life = 0
        self.restart()

    def restart(self):
        fleet = self.fleet
        self.life += 1
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
                fleet.look,
                self._later,
            )
        )
        self.copy = TopicCopy(self.quarantine.suspects, fleet.clock)
        self.reader = KeyedReader(log, SUSPECTS_TOPIC)
        writer = self.quarantine.writer
        writer.loop.wake = lambda: self._later(0.0005, self._step, writer)
        self.sync()

    def sync(self):
        """Bring the list of suspects up to date, as following the topic does.

        Whoever cannot read the log service hears of others what they read.
        """
        try:
            self.copy.take(self.reader.read(self.copy.next_offset))
        except LogServiceError:
            self._learn_from_others()

    def _learn_from_others(self):
        others = [side for side in self.fleet.up() if side is not self]
        asked = self.fleet.draw.sample(others, min(MAX_ASKED, len(others)))
        known = [side.copy.whole() for side in asked if side.copy.next_offset]
        if known:
            self.copy.take(max(known, key=lambda batch: batch.next_offset))

    def _later(self, delay_s, function, *arguments):
        guarded = self.fleet.if_up(self, function)
        self.fleet.net.call_later(delay_s, guarded, *arguments)

    def _step(self, writer):
        if writer.step():
            self._later(RETRY_S, self._step, writer)


@attrs.define(eq=False)
class Run:
    """A request on an engine."""

    fingerprint: str
    side: Side
    side_life: int
    permit: object
    began_s: float


@attrs.define(eq=False)
class Engine:
    """An engine; its incarnations differ in their time of start."""

    name: str
    born_ms: int = 1
    is_up: bool = True
    runs: list = attrs.Factory(list)

    @property
    def incarnation_id(self):
        return f"{self.name}@{self.born_ms}"


class QuarantineFleet:
    """Instances, engines, and the requests that they get."""

    def __init__(self, count, engines, seed=1):
        self.clock = Clock()
        self.draw = random.Random(seed)
        self.net = ModelledNet(self.clock, self.draw, CODEC)
        self.store = LogStore()
        self.lost_notices = 0.0
        #: how long it takes until the ends of runs are noticed.
        self.noticed_after_s = 0.0
        records = [InstanceRecord(f"i{n}", f"10.0.0.{n}:1") for n in range(count)]
        self.records = sorted(records, key=order_key)
        self.engines = [Engine(f"e{n}") for n in range(engines)]
        self._followed_state, self._followed = None, {}
        self.sides = [Side(self, record) for record in self.records]
        self.by_name = {side.record.name: side for side in self.sides}
        self.net.sides = {side.record.address: side for side in self.sides}
        for side in self.sides:
            self.net.call_later(self.draw.uniform(0, SYNC_S), self._sync, side)
            self.net.call_later(self.draw.uniform(0, SWEEP_S), self._sweep, side)
        self.left_list = set()
        self.crashing = set()
        #: crashes and arrivals at engines, by fingerprint.
        self.crashes = {}
        self.arrivals = {}
        self.refused = []
        self.served = []

    def up(self):
        return [side for side in self.sides if side.is_up]

    def hearing(self, name):
        return Hearing.ALIVE if self.by_name[name].is_up else Hearing.AWAY

    def followed_by(self, side):
        """Return the names of those that an instance listens to."""
        state = tuple(s.is_up for s in self.sides)
        if state != self._followed_state:
            self._followed_state, self._followed = state, {}
        if side not in self._followed:
            followed = side.bus.view().followed()
            self._followed[side] = {record.name for record in followed}
        return self._followed[side]

    def look(self, address):
        engine = next(e for e in self.engines if e.name == address)
        return Liveness.ALIVE if engine.is_up else Liveness.ENDED

    def if_up(self, side, function):
        """Return ``function``, called only if the instance still lives then."""
        life = side.life

        def call(*arguments):
            if side.is_up and side.life == life:
                function(*arguments)

        return call

    def run(self, seconds):
        self.net.run_until(self.clock() + seconds)

    # Requests.

    def send(self, fingerprint, side=None, engine=None):
        """Send a request to an instance; return whether it reached an engine."""
        side = side or self.draw.choice(self.up())
        try:
            permit = side.quarantine.admit(fingerprint, 5.0)
        except QuarantinedError as error:
            self.refused.append((self.clock(), fingerprint, error.retry_after_s))
            return False
        engine = engine or self.draw.choice([e for e in self.engines if e.is_up])
        run = Run(fingerprint, side, side.life, permit, self.clock())
        engine.runs.append(run)
        self.arrivals.setdefault(fingerprint, []).append(self.clock())
        if fingerprint in self.crashing:
            self.net.call_later(CRASHES_AFTER_S, self._crash_under, engine, run)
        else:
            self.net.call_later(RUNS_S, self._finish, engine, run)
        return True

    def _crash_under(self, engine, run):
        if run in engine.runs:
            self.crash(engine)
            self.crashes.setdefault(run.fingerprint, []).append(self.clock())

    def crash(self, engine):
        """End an engine with all that runs there."""
        engine.is_up = False
        runs, engine.runs = engine.runs, []
        for run in runs:
            if run.side.is_up and run.side.life == run.side_life:
                tell = self.if_up(run.side, self._tell_broken)
                life, age_s = engine.incarnation_id, self.clock() - run.began_s
                delay_s = self.noticed_after_s
                self.net.call_later(delay_s, tell, engine, life, run, age_s)
        self.net.call_later(LAPSE_S, self._leave_list, engine.incarnation_id)
        self.net.call_later(RESTART_S, self._start, engine)

    def _leave_list(self, incarnation_id):
        self.left_list.add(incarnation_id)
        for side in self.up():
            side.quarantine.note_upstream_gone(incarnation_id, False)

    def _tell_broken(self, engine, incarnation_id, run, age_s):
        answering_s = None
        if run.fingerprint not in self.crashing and age_s > FIRST_EVENT_S:
            answering_s = age_s - FIRST_EVENT_S
        is_gone = incarnation_id in self.left_list
        upstream = RunUpstream(incarnation_id, engine.name, is_gone=is_gone)
        is_trial = run.permit.is_trial
        broken = BrokenRun(run.fingerprint, upstream, answering_s, is_trial)
        run.side.quarantine.note_broken(broken)

    def _start(self, engine):
        engine.born_ms += 1
        engine.is_up = True

    def _finish(self, engine, run):
        if run in engine.runs:
            engine.runs.remove(run)
            self.served.append((self.clock(), run.fingerprint))
            if run.side.is_up and run.side.life == run.side_life:
                run.side.quarantine.note_served(run.permit)

    # Faults.

    def kill(self, sides):
        for side in sides:
            side.is_up = False

    def restart(self, sides):
        for side in sides:
            side.restart()

    def late_arrivals(self, fingerprint, late_s):
        """Return the arrivals so long after the third crash."""
        crashes = self.crashes.get(fingerprint, [])
        if len(crashes) < 3:
            return []
        return [s for s in self.arrivals[fingerprint] if s > crashes[2] + late_s]

    def _sweep(self, side):
        if side.is_up:
            side.quarantine.sweep()
        self.net.call_later(SWEEP_S, self._sweep, side)

    def _sync(self, side):
        if side.is_up:
            side.sync()
        self.net.call_later(SYNC_S, self._sync, side)
