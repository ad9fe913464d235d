"""A simulated fleet in front of brittle upstreams that end and come back."""

import collections

import attrs
import gevent.event
from limits_world import CODEC, CallerRequest, LimitFleet, LimitInstance

from kumquatseam.errors import UpstreamsRestingError
from kumquatseam.placement import LimitedPlacer, PlacementRequest
from kumquatseam.prompts import PromptChain
from kumquatseam.quotas import SWEEP_INTERVAL_S, CallerRetry, UpstreamFullError
from kumquatseam.routes import ServiceTraits
from kumquatseam.upstreams import Upstream

PLAIN = ServiceTraits("plain")
#: how long a request runs, at least and at most.
MIN_WORK_S, MAX_WORK_S = 0.06, 0.12
#: time until an upstream that ended leaves the list, and until it is listed again.
LIST_EXPIRY_S = 0.6
RESTART_S = 3.0
#: by how much instances learn of the list at different times.
LIST_SPREAD_S = 0.3
#: requests that wait at an upstream before it lets fewer wait.
QUEUE_BEFORE = 24
DEADLINE_S = 2.0
#: longest wait for a place, and the interval at which one is looked for.
MAX_WAIT_S = 0.5
POLL_S = 0.02
#: attempts at a request that upstreams refuse.
MAX_ATTEMPTS = 2


class BrittleUpstream:
    """An upstream that ends if it refuses too many requests in a second.

    :param fleet: the fleet in front of it.
    :param name: its incarnation.
    """

    def __init__(self, fleet, name, slots):
        self.fleet = fleet
        self.upstream = Upstream(name, "plain", "127.0.0.1:1", slots=slots)
        self.running = 0
        self.waiting = collections.deque()
        self.refused_s = collections.deque()
        self.is_up = True
        #: times of arrivals.
        self.arrivals_s = []

    def arrive(self, answer):
        """Take a request.

        :param answer: called with ``served``, ``refused`` or ``reset``.
        """
        self.arrivals_s.append(self.fleet.clock())
        if not self.is_up:
            answer("reset")
        elif self.running < self.upstream.slots:
            self._run(answer)
        elif len(self.waiting) < self.fleet.queue:
            self.waiting.append(answer)
        else:
            self._refuse(answer)

    def _run(self, answer):
        self.running += 1
        work_s = self.fleet.draw.uniform(MIN_WORK_S, MAX_WORK_S)
        self.fleet.net.call_later(work_s, self._finish, answer)

    def _finish(self, answer):
        if not self.is_up:
            answer("reset")
            return
        self.running -= 1
        answer("served")
        if self.waiting:
            self._run(self.waiting.popleft())

    def _refuse(self, answer):
        answer("refused")
        now_s = self.fleet.clock()
        self.refused_s.append(now_s)
        while self.refused_s[0] < now_s - 1.0:
            self.refused_s.popleft()
        if self.fleet.has_settled and len(self.refused_s) > self.fleet.bearable:
            self.end()

    def end(self):
        """Fall over, and come back later."""
        self.is_up = False
        for answer in self.waiting:
            answer("reset")
        self.waiting.clear()
        self.fleet.note_fall(self)


class BrittleInstance(LimitInstance):
    """One instance, which places requests as the gateway does."""

    def serve(self, request, retries):
        fleet = self.fleet
        began_s = fleet.clock()
        excluded = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            granted = self._place(request, excluded, attempt, began_s)
            if granted is None:
                break
            request.outcome = self._send_and_wait(granted)
            if request.outcome != "refused":
                break
            excluded.add(granted.grant.incarnation_id)
        request.took_s = fleet.clock() - began_s

    def _place(self, request, excluded, attempt, began_s):
        """Return an upstream, waiting a short time for one."""
        fleet = self.fleet
        placer = LimitedPlacer(self.free_placer, self.limits, fleet.clock, fleet.draw)
        retry = CallerRetry(request.key, DEADLINE_S / 3)
        while True:
            placed = PlacementRequest(
                request.key,
                PLAIN,
                None,
                "",
                PromptChain(),
                frozenset(excluded),
                attempt,
            )
            try:
                granted = placer.place(placed, retry, MAX_WAIT_S)
            except (UpstreamFullError, UpstreamsRestingError) as error:
                request.outcome = "turned away"
                request.retry_after_s = error.retry_after_s
                return None
            if granted is not None:
                return granted
            excluded.clear()
            if fleet.clock() - began_s >= MAX_WAIT_S:
                request.outcome = "turned away"
                return None
            turn_in_s = placer.turn_in_s
            pause_s = POLL_S if turn_in_s is None else min(POLL_S, turn_in_s)
            fleet.net.wait(gevent.event.Event(), pause_s)

    def _send_and_wait(self, granted):
        """Send a request; return what became of it."""
        fleet, placement = self.fleet, granted.placement
        status = placement.status
        in_flight = self.work.begin(placement.request_work(DEADLINE_S))
        self.limits.note_sent(granted.grant)
        generation, outcome = self.generation, []
        sent_s, done = fleet.clock(), gevent.event.Event()

        def answer(result):
            # The response needs some time on its way back.
            fleet.net.call_later(fleet.draw.uniform(0.0005, 0.002), receive, result)

        def receive(result):
            if self.is_up and generation is self.generation:
                outcome.append(result)
                if result == "reset":
                    self.directory.note_connection_failure(status, "reset")
                else:
                    self.note_response(status, result, sent_s)
                in_flight.end()
            done.set()

        upstream = fleet.upstreams.get(status.upstream.incarnation_id)
        delay_s = fleet.draw.uniform(0.0005, 0.002)
        if upstream is None:
            answer("reset")
        else:
            fleet.net.call_later(delay_s, upstream.arrive, answer)
        fleet.net.wait(done, DEADLINE_S)
        return outcome[0] if outcome else "lost"

    def note_response(self, status, result, sent_s):
        """Record what a response says, as the gateway does."""
        if self.fleet.said is not None or result == "served":
            self.places.observe(status, self.fleet.said, sent_s)
        if result == "refused":
            self.directory.note_refused(status)
            self.places.note_refused(status)


class BrittleFleet(LimitFleet):
    """Instances in front of a plain service whose upstreams become brittle.

    :param count: number of instances.
    :param upstreams: number of upstreams.
    :param slots: requests that each runs at once.
    """

    instance_class = BrittleInstance

    def __init__(self, count, upstreams, slots, seed=1):
        self.slots = slots
        #: all that were ever started, by incarnation.
        self.upstreams = {}
        self.queue = QUEUE_BEFORE
        #: the refusals that they say they bear; ``None`` if they say nothing.
        self.said = None
        self.bearable = 0
        self.has_settled = False
        self.fall_times_s = []
        super().__init__(count, upstreams, seed)
        self._sweep()

    def _sweep(self):
        for instance in self.instances.values():
            if instance.is_up:
                instance.places.sweep()
        self.net.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _add_engine(self, name):
        self.upstreams[name] = self.engines[name] = BrittleUpstream(
            self, name, self.slots
        )

    @property
    def can_do_per_s(self):
        """Requests a second that all upstreams can run."""
        mean_s = (MIN_WORK_S + MAX_WORK_S) / 2
        alive = sum(upstream.is_up for upstream in self.engines.values())
        return alive * self.slots / mean_s

    def say(self, refusals):
        self.said = self.bearable = refusals

    def settle(self, queue):
        """Let fewer requests wait, and end by refusals from now on."""
        self.queue = queue
        self.has_settled = True
        for upstream in self.engines.values():
            upstream.refused_s.clear()

    def note_fall(self, upstream):
        self.fall_times_s.append(self.clock())
        name = upstream.upstream.upstream_id
        self.net.call_later(RESTART_S, self._start_again, name)
        for instance in self.instances.values():
            delay_s = LIST_EXPIRY_S + self.draw.uniform(0, LIST_SPREAD_S)
            self.net.call_later(delay_s, self._unlist, instance, name)

    def _unlist(self, instance, name):
        instance.directory.remove(name)
        instance.limits.forget(name)

    def _start_again(self, name):
        successor = f"{name}b"
        self.engines.pop(name)
        self._add_engine(successor)
        for instance in self.instances.values():
            self.net.call_later(
                self.draw.uniform(0, LIST_SPREAD_S),
                instance.directory.put,
                self.engines[successor].upstream,
            )

    def end_all(self):
        """End all upstreams at once."""
        for upstream in list(self.engines.values()):
            if upstream.is_up:
                upstream.end()

    def offer_bursts(self, per_s, for_s, burst_s):
        """Schedule the requests of each ``burst_s`` at once, at random instances."""
        for number in range(int(per_s * for_s)):
            due_s = number / per_s
            due_s -= due_s % burst_s
            key = f"b-{self.draw.getrandbits(48):x}"
            self.net.call_later(due_s, self._arrive_at_instance, key, "t", 0)


@attrs.frozen
class Share:
    """What became of the requests of some time.

    :param served: share that was served.
    :param slowest_refusal_s: longest time until one was refused.
    """

    served: int
    slowest_refusal_s: float

    @classmethod
    def of(cls, requests: list[CallerRequest]):
        refused = [r for r in requests if r.outcome in ("turned away", "refused")]
        return cls(
            sum(r.outcome == "served" for r in requests),
            max((r.took_s for r in refused), default=0.0),
        )


__all__ = ["CODEC", "BrittleFleet", "Share"]
