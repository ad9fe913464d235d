"""Callers with kept connections, and planned work on a platform world."""

import http.client
import random
import signal
import threading
import time

import attrs
from platform_moves import MoveAnswer
from platform_world import KEY, wait_until

#: how long a request takes: a stream, a plain one.
EVENTS = 12
EVENT_PAUSE_S = 0.12
WORK_S = 0.1
DEADLINE_S = 12.0
#: requests on one connection, as long as it is open.
MAX_ON_CONNECTION = 40
#: longest pause between two requests of a caller; less than any idle timeout.
MAX_PAUSE_S = 0.6
#: idle timeouts that configurations set.
IDLE_TIMEOUTS_MS = (2_500, 15_000)
#: routes that a large configuration adds.
MANY_ROUTES = 700
#: how long a replica serves after it said that it is draining.
DRAINS_S = 3.0
PATHS = ("/once/x", "/once/x", "/once/x", "/resume/x", "/plain/x", "/safe/x")
STREAM_PATHS = ("/once/x", "/resume/x")


@attrs.define(eq=False)
class Outcome:
    """A request, and what its caller got.

    :param gateway: number of the gateway that it was sent to.
    :param status: status of the response; 0 without one.
    :param is_whole: whether the response is the replica's whole one.
    :param detail: how it failed.
    """

    request_id: str
    path: str
    gateway: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_whole: bool = False
    detail: str = ""


class KeptCaller(threading.Thread):
    """Sends one request after the other on connections that it keeps.

    :param world: the platform.
    :param number: its number.
    :param draw: a random number generator.
    :param until_s: when it stops.
    """

    def __init__(self, world, number, draw, until_s):
        super().__init__(daemon=True)
        self.world = world
        self.number = number
        self.draw = draw
        self.until_s = until_s
        self.outcomes: list[Outcome] = []
        self._connection = None
        self._gateway = 0
        self._on_connection = 0

    def run(self):
        while time.monotonic() < self.until_s:
            if self._connection is None and not self._connect():
                time.sleep(0.05)
                continue
            self._send_one()
            time.sleep(self.draw.uniform(0.0, MAX_PAUSE_S))
        self._close()

    def _connect(self) -> bool:
        """Connect to a gateway in rotation, as the platform's ingress does."""
        numbers = list(range(len(self.world.gateways)))
        self.draw.shuffle(numbers)
        ready = [n for n in numbers if self.world.gateways[n].is_ready()]
        if not ready:
            return False
        self._gateway = ready[0]
        port = self.world.gateways[self._gateway].ports["front"]
        self._connection = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
        self._on_connection = 0
        try:
            self._connection.connect()
        except OSError:
            self._close()
            return False
        return True

    def _close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _send_one(self):
        path = self.draw.choice(PATHS)
        request_id = f"c{self.number}-{len(self.outcomes)}"
        outcome = Outcome(request_id, path, self._gateway, time.monotonic())
        self.outcomes.append(outcome)
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
            "Authorization": f"Token {KEY}",
        }
        if path in STREAM_PATHS:
            headers |= self.world.stream_headers(f"part{self.draw.randrange(9)}")
        method = "GET" if path == "/safe/x" else "POST"
        body = None if method == "GET" else b"question of %s" % request_id.encode()
        try:
            self._connection.request(method, path, body, headers)
            response = self._connection.getresponse()
            outcome.status = response.status
            data = response.read()
            outcome.is_whole = response.status == 200 and data == _whole(path)
            outcome.detail = "" if outcome.is_whole else f"{len(data)} bytes"
            self._on_connection += 1
            is_last = self._on_connection >= MAX_ON_CONNECTION
            if response.will_close or is_last:
                self._close()
        except (OSError, http.client.HTTPException) as error:
            outcome.detail = repr(error)
            self._close()
        outcome.ended_s = time.monotonic()


def _whole(path) -> bytes:
    if path not in STREAM_PATHS:
        return b"whole"
    numbers = range(1, EVENTS + 1)
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)


class PlannedWork:
    """What operators do to a system that goes on serving.

    :param world: the platform.
    :param draw: a random number generator.
    """

    #: route timeouts that configurations set.
    TIMEOUTS_MS = (8_000, 15_000)

    def __init__(self, world, draw):
        self.world = world
        self.draw = draw
        self.threads: list[threading.Thread] = []
        self.done: list[tuple[float, str]] = []
        self.weights = 1
        self.replaced = 0
        #: spans in which the process of a gateway was killed and not back.
        self.kills: list[tuple[int, float]] = []
        self._busy_gateways: set[int] = set()
        self._lock = threading.Lock()
        self._extra_routes = 0

    def do(self, name):
        """Begin some work; what takes longer goes on beside others."""
        self.done.append((time.monotonic(), name))
        thread = threading.Thread(target=getattr(self, name), daemon=True)
        self.threads.append(thread)
        thread.start()

    def join(self):
        for thread in self.threads:
            thread.join()

    def name_weights(self):
        with self._lock:
            self.weights += 1
            self.world.name_weights(self.weights)

    def change_configuration(self):
        with self._lock:
            kind = self.draw.choice(
                ("timeouts", "route", "idle", "quota", "many", "key", "priority")
            )
            self._change(kind)
            self.world.put_configuration()

    def change_configurations(self):
        """Change the configuration several times in quick succession."""
        for _ in range(5):
            self.change_configuration()
            time.sleep(0.3)

    def _change(self, kind):
        world = self.world
        if kind == "timeouts":
            timeout_ms = self.draw.choice(self.TIMEOUTS_MS)
            for route in world.routes:
                route["timeoutMs"] = timeout_ms
        elif kind == "route":
            self._extra_routes += 1
            world.add_route(f"/extra{self._extra_routes}/", "idempotent", "plain")
        elif kind == "idle":
            world.idle_timeout_ms = self.draw.choice(IDLE_TIMEOUTS_MS)
        elif kind == "quota":
            world.quota = {"ratePerS": self.draw.choice((5_000, 9_000)), "burst": 9_000}
        elif kind == "many" and len(world.routes) < MANY_ROUTES:
            for number in range(MANY_ROUTES):
                world.add_route(f"/many{number}/", "idempotent", "plain")
        elif kind == "key":
            world.keys = [KEY, f"key-{self.draw.randrange(10**6)}"]
        elif kind == "priority":
            for route in world.routes[:4]:
                route["priority"] = self.draw.randrange(3)

    def stop_gateway(self):
        """Stop a gateway gracefully and start it again."""
        number = self._take_gateway()
        if number is None:
            return
        gateway = self.world.gateways[number]
        try:
            gateway.process.send_signal(signal.SIGTERM)
            gateway.process.wait()
            gateway.start()
            wait_until("the gateway is ready", gateway.is_ready, 30)
        finally:
            self._busy_gateways.discard(number)

    def kill_gateway(self):
        number = self._take_gateway()
        if number is None:
            return
        gateway = self.world.gateways[number]
        try:
            self.kills.append((number, time.monotonic()))
            gateway.process.kill()
            gateway.process.wait()
            gateway.start()
            wait_until("the gateway is ready", gateway.is_ready, 30)
        finally:
            self._busy_gateways.discard(number)

    def reload_gateway(self):
        """Change the settings of a gateway, and tell it."""
        number = self._take_gateway()
        if number is None:
            return
        gateway = self.world.gateways[number]
        try:
            text = gateway.settings.read_text()
            old, new = ("slack = 200", "slack = 201")
            gateway.settings.write_text(text.replace(old, new))
            gateway.process.send_signal(signal.SIGHUP)
            time.sleep(0.5)
        finally:
            self._busy_gateways.discard(number)

    def pause_gateway(self):
        """Let a process stall, as on a machine with few cores."""
        number = self._take_gateway()
        if number is None:
            return
        process = self.world.gateways[number].process
        try:
            process.send_signal(signal.SIGSTOP)
            time.sleep(self.draw.uniform(0.1, 1.0))
        finally:
            process.send_signal(signal.SIGCONT)
            self._busy_gateways.discard(number)

    def release_engine(self):
        """Replace an engine: the new one starts first, the old one drains."""
        with self._lock:
            engines = [
                name
                for name in self.world.replicas
                if name.startswith("e") and not self.world.replicas[name].is_old
            ]
            old = self.world.replicas[self.draw.choice(engines)]
            old.is_old = True
            self.replaced += 1
            add_engine(self.world, f"e-new{self.replaced}", self.next_answer)
            self.world.list_replica(old.upstream_id, state="draining")
        time.sleep(DRAINS_S)
        self.world.unlist_replica(old.upstream_id)

    def next_answer(self, order):
        """Return what a move does; replaced by scenarios."""
        return MoveAnswer.DONE

    def _take_gateway(self) -> int | None:
        """Reserve a gateway that nothing happens to; half of them are left alone."""
        with self._lock:
            count = len(self.world.gateways)
            free = [n for n in range(count) if n not in self._busy_gateways]
            if len(free) <= count // 2:
                return None
            number = self.draw.choice(free)
            self._busy_gateways.add(number)
            return number

    @property
    def is_done(self) -> bool:
        return not any(thread.is_alive() for thread in self.threads)


#: planned work that a soak draws from; a kind that stands twice comes twice as often.
KINDS = (
    "name_weights",
    "name_weights",
    "change_configuration",
    "change_configuration",
    "change_configurations",
    "stop_gateway",
    "stop_gateway",
    "reload_gateway",
    "release_engine",
)
#: what happens to processes besides, in some soaks.
TROUBLES = ("pause_gateway", "kill_gateway")
#: share of moves that are simply done in a soak.
DONE_SHARE = 0.5
#: longest time between two pieces of work in series, and between two bursts of work
#: that overlaps.
SERIES_PAUSE_S = 1.6
BURST_PAUSE_S = 5.0
BURST = 3


def draw_schedule(draw, for_s, troubles=()):
    """Draw planned work in series, with bursts of work that overlaps."""
    kinds = (*KINDS, *troubles)
    schedule, at_s, burst_s = [], 1.0, draw.uniform(1.0, BURST_PAUSE_S)
    while at_s < for_s - 1.0:
        schedule.append((at_s, draw.choice(kinds)))
        if at_s > burst_s:
            schedule += [(at_s, kind) for kind in draw.sample(kinds, BURST)]
            burst_s = at_s + draw.uniform(0.5, 1.0) * BURST_PAUSE_S
        at_s += draw.uniform(0.3, SERIES_PAUSE_S)
    return schedule


def draw_answer(draw) -> MoveAnswer:
    """Draw what a move does."""
    if draw.random() < DONE_SHARE:
        return MoveAnswer.DONE
    return draw.choice(list(MoveAnswer))


def add_engine(world, name, next_answer):
    """Add an engine of the newest weights, and list it."""
    replica = world.add_replica(
        "engines",
        name,
        version=max([1, *(r.version or 1 for r in world.replicas.values())]),
        events=EVENTS,
        event_pause_s=EVENT_PAUSE_S,
        load_s=0.3,
    )
    replica.run_moves.next_answer = next_answer
    replica.is_old = False
    return replica


def start_world(world, gateways, engines, next_answer, slack=200, machine=""):
    """Start gateways in front of engines and two plain replicas, all sound.

    :param machine: settings of the gateways' machines, as lines of ``[gateway]``.
    """
    for number in range(engines):
        add_engine(world, f"e{number}", next_answer)
    for number in range(2):
        world.add_replica("plain", f"p{number}").work_s = WORK_S
    world.add_route("/once/", "stream", "engines", maxAttempts=1, timeoutMs=15_000)
    world.add_route("/resume/", "stream", "engines", resumable=True, timeoutMs=15_000)
    world.add_route("/plain/", "non_idempotent", "plain", maxAttempts=1)
    world.add_route("/safe/", "idempotent", "plain")
    world.put_configuration()
    world.name_weights(1)
    for _ in range(gateways):
        world.add_gateway(wait=False, slack=slack, more=machine)
    for gateway in world.gateways:
        wait_until("the gateway is ready", gateway.is_ready, 60)
        wait_until("it lists replicas", lambda g=gateway: world.knows_replicas(g), 60)


@attrs.define
class Verdict:
    """What became of all requests.

    :param cut: accepted requests without a whole answer, though their replica and
        their gateway's process went on.
    :param run_though_refused: requests that ran although they were refused.
    :param run_twice: requests that may run once and began to run twice.
    :param at_work_twice: runs that were at work on two engines at a time.
    """

    cut: list[Outcome] = attrs.Factory(list)
    run_though_refused: list[Outcome] = attrs.Factory(list)
    run_twice: list[str] = attrs.Factory(list)
    at_work_twice: list[str] = attrs.Factory(list)
    served: int = 0
    refused: int = 0
    total: int = 0
    moves: int = 0
    went_on: int = 0


def judge(world, outcomes, kills) -> Verdict:
    """Compare what callers got with what ran at the replicas."""
    verdict = Verdict(total=len(outcomes))
    seen: dict[str, list] = {}
    for replica in world.replicas.values():
        verdict.moves += len(replica.run_moves.asked)
        verdict.at_work_twice += replica.run_moves.doubles
        for request in list(replica.seen):
            request_id = request.headers.get("X-Request-Id", "")
            seen.setdefault(request_id, []).append(request)
    for outcome in outcomes:
        ran = [s for s in seen.get(outcome.request_id, []) if s.ran]
        began = [s for s in ran if "Kv-From" not in s.headers]
        verdict.went_on += len(ran) - len(began)
        verdict.served += outcome.is_whole
        if outcome.path in ("/once/x", "/plain/x") and len(began) > 1:
            verdict.run_twice.append(outcome.request_id)
        if outcome.status in (429, 503):
            verdict.refused += 1
            if ran and outcome.path != "/safe/x":
                verdict.run_though_refused.append(outcome)
        elif not outcome.is_whole and not _is_excused(outcome, ran, kills):
            verdict.cut.append(outcome)
    return verdict


def _is_excused(outcome, ran, kills) -> bool:
    """Return whether a request without a whole answer was not accepted, or its
    gateway was killed meanwhile."""
    if any(
        number == outcome.gateway and outcome.sent_s <= at_s <= outcome.ended_s + 0.5
        for number, at_s in kills
    ):
        return True
    # A request that crossed the close of an idle connection was not read.
    return not ran and outcome.status == 0


def describe(world, verdict) -> str:
    """Return the requests that were cut, with the lines of their gateways."""
    texts = []
    for outcome in verdict.cut[:5]:
        lines = [
            f"    {line['event']} "
            + " ".join(
                f"{name}={line[name]}"
                for name in ("by", "detail", "upstream", "status", "reason")
                if line.get(name) is not None
            )
            for line in world.gateways[outcome.gateway].lines()
            if line.get("request") == outcome.request_id
        ]
        texts.append("\n".join([repr(outcome), *lines]))
    return (
        f"{len(verdict.cut)} of {verdict.total} cut, {verdict.served} served, "
        f"{verdict.refused} refused; {verdict.moves} moves asked, {verdict.went_on} "
        f"runs went on elsewhere; twice {verdict.run_twice}, at work twice "
        f"{verdict.at_work_twice}, refused and run {verdict.run_though_refused[:3]}\n"
        + "\n".join(texts)
    )


def serve_and_work(world, callers, for_s, schedule, work, seed):
    """Let callers send while planned work begins at its times.

    :param schedule: pairs of seconds after the start and the name of the work.
    :returns: what the callers got.
    """
    started_s = time.monotonic()
    threads = [
        KeptCaller(world, n, random.Random(f"{seed}/{n}"), started_s + for_s)
        for n in range(callers)
    ]
    for thread in threads:
        thread.start()
    for at_s, name in sorted(schedule):
        time.sleep(max(0.0, started_s + at_s - time.monotonic()))
        work.do(name)
    for thread in threads:
        thread.join()
    work.join()
    return [outcome for thread in threads for outcome in thread.outcomes]
