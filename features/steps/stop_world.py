"""Callers and planned work around the stops of gateways, with engines that queue."""

import http.client
import random
import signal
import socket
import subprocess
import threading
import time

import attrs
from platform_replica import RunShape
from platform_world import KEY, wait_until
from whole_answers_world import PlannedWork

#: events of a stream: median, spread, and most.
MEDIAN_EVENTS = 62
EVENTS_SIGMA = 0.6
MAX_EVENTS = 233
#: pause between two events, by seed.
EVENT_PAUSES_S = (0.015, 0.03)
#: longest time in which an engine that is not slowed reads a prompt.
MAX_PROMPT_S = 0.3
#: a plain request: median and spread of its time.
MEDIAN_WORK_S = 0.15
WORK_SIGMA = 0.8
#: what the events of large streams carry.
PADDING_BYTES = (1_000, 12_000)
#: callers besides those that come for one stop, by seed.
CALLERS = (9, 18, 30)
#: runs at once on an engine, and requests that wait there for a place.
RUN_SLOTS = 4
RUN_QUEUE = 12
PLAIN_SLOTS = 8
PLAIN_QUEUE = 40
#: by how much engines slow down at the moment of a stop.
SLOWNESS = (4.0, 14.0)
#: deadlines of callers: most are longer than any grace, some shorter.
DEADLINE_S = 25.0
SHORT_DEADLINES_S = (0.6, 3.0)
SHORT_SHARE = 0.15
#: longer than any deadline, so that no request ends by a timeout of its route.
ROUTE_TIMEOUTS_MS = (27_000, 30_000)
#: how much longer than its deadline a caller waits.
PATIENCE_S = 3.0
#: the load balancer sends new connections until it has missed two probes.
ROTATION_S = 2.0
#: of the grace: until then a request that is sent may still be cut while it runs.
LATE_SHARE = 3 / 8
#: callers whose response spans the SIGTERM, and those with a connection that has
#: carried nothing before it, for each stop.
SPANNING = 12
UNUSED = 6
#: a response that spans the SIGTERM ends at this share of the grace after it.
SPANNING_SHARES = (1 / 8, 6 / 8)
BEFORE_STOP_S = 0.6
MAX_ON_CONNECTION = 40
LAG_POLL_S = 0.01
MAX_PAUSE_S = 0.6
#: pause of a caller of any kind after a request that was not served.
AFTER_REFUSAL_S = 0.1
#: how often a body comes in chunks, and how often the caller of a connection reads
#: slowly, and a stream on it is large.
CHUNKED_SHARE = 0.25
SLOW_READ_SHARE = 0.15
LARGE_SHARE = 0.4
#: a reset may follow the end of a connection by this much; the state of a TCP
#: connection after it.
RESET_AFTER_S = 0.02
TCP_CLOSE = 7
#: size of the receive buffer of a caller that reads slowly, and what it reads at once.
#: With less than two segments of a loopback interface a sender waits for its timer.
SLOW_BUFFER_BYTES = 131_072
SLOW_READ_BYTES = 8_192
SLOW_READ_PAUSE_S = 0.05
PATHS = ("/once/x", "/once/x", "/once/x", "/once/x", "/resume/x", "/plain/x", "/safe/x")
STREAM_PATHS = ("/once/x", "/resume/x")
#: paths of requests that run at most once.
ONCE_PATHS = ("/once/x", "/plain/x")
#: gateways that no caller uses before their stop.
HIDDEN = 1
STOP_KINDS = ("stop_gateway", "stop_gateway", "stop_gateway", "stop_unused_gateway")
BESIDE_KINDS = (
    "name_weights",
    "name_weights",
    "change_configuration",
    "change_configurations",
    "reload_gateway",
    "release_engine",
)


@attrs.define(eq=False)
class SentRequest:
    """A request, and what its caller got.

    :param gateway: number of the gateway that it was sent to.
    :param caller: what kind of caller sent it.
    :param number: how many requests its connection carried before.
    :param sent_s: when its first byte was sent.
    :param last_byte_s: when its last byte was sent; 0 if that failed.
    :param head_s: when the head of its response had been read; 0 without one.
    :param first_byte_s: when the first byte of the body had been read.
    :param ended_s: when its response or its connection ended.
    :param was_reset: whether the connection was reset: then its process had not read
        all that was sent.
    :param gave_up: whether its caller ended the connection.
    :param is_complete: whether the response was complete, whatever its status.
    :param is_whole: whether it is the replica's whole one.
    :param is_wrong: whether it is complete, or has bytes, that no replica sent.
    """

    request_id: str
    path: str
    gateway: int
    caller: str
    number: int
    deadline_s: float
    is_chunked: bool = False
    reads_slowly: bool = False
    sent_s: float = 0.0
    last_byte_s: float = 0.0
    head_s: float = 0.0
    first_byte_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    received_bytes: int = 0
    was_reset: bool = False
    gave_up: bool = False
    is_complete: bool = False
    is_whole: bool = False
    is_wrong: bool = False
    detail: str = ""


@attrs.define(eq=False)
class Stop:
    """One stop of a gateway.

    :param sigterm_s: when it got SIGTERM.
    :param gone_s: when its process had ended.
    :param was_killed: whether it needed SIGKILL, at the end of its grace.
    :param status: with what its process ended; ``None`` before.
    :param signals: what it got besides, and when after the SIGTERM.
    :param slowness: by how much engines were slowed meanwhile.
    """

    gateway: int
    grace_s: float
    sigterm_s: float = 0.0
    gone_s: float = 0.0
    was_killed: bool = False
    status: int | None = None
    is_unused: bool = False
    signals: list[tuple[str, float]] = attrs.Factory(list)
    slowness: float = 1.0


class StopWorld:
    """What the callers and the planned work of one seed share.

    :param platform: the platform.
    :param seed: draws everything.
    :param grace_s: the gateways' grace.
    """

    def __init__(self, platform, seed, grace_s):
        self.platform = platform
        self.seed = seed
        self.grace_s = grace_s
        self.stops: list[Stop] = []
        #: with what the gateways ended that were stopped last, all idle.
        self.idle_statuses: list[int] = []
        self.requests: list[SentRequest] = []
        self.hidden: set[int] = set()
        self.lag = LagMeter()
        self.event_pause_s = random.Random(seed).choice(EVENT_PAUSES_S)
        self._shapes: dict[str, RunShape] = {}

    def shape_of(self, seen) -> RunShape:
        """Return the shape of a request's run, the same on any replica."""
        # Probes have no id.
        return self.shape(seen.headers.get("X-Request-Id", seen.path))

    def shape(self, request_id) -> RunShape:
        if request_id not in self._shapes:
            draw = random.Random(f"{self.seed}/{request_id}")
            events = MEDIAN_EVENTS * draw.lognormvariate(0, EVENTS_SIGMA)
            self._shapes[request_id] = RunShape(
                events=max(1, min(MAX_EVENTS, round(events))),
                event_pause_s=self.event_pause_s,
                prompt_s=draw.uniform(0.0, MAX_PROMPT_S),
                work_s=MEDIAN_WORK_S * draw.lognormvariate(0, WORK_SIGMA),
            )
        return self._shapes[request_id]

    def change_shape(self, request_id, **fields):
        """Change the shape of the run of a request that has not been sent yet."""
        shape = self.shape(request_id)
        self._shapes[request_id] = attrs.evolve(shape, **fields)

    def whole(self, request) -> bytes:
        """Return the whole body of a request's response."""
        if request.path not in STREAM_PATHS:
            return b"whole"
        shape = self.shape(request.request_id)
        dots = b"." * shape.padding_bytes
        return b"".join(
            b"id: %d\ndata: piece %d%b\n\n" % (n, n, dots)
            for n in range(1, shape.events + 1)
        )

    def stop_of(self, gateway) -> Stop | None:
        """Return the stop that a gateway is in."""
        for stop in reversed(self.stops):
            if stop.gateway == gateway and stop.sigterm_s:
                return None if stop.gone_s else stop
        return None

    def in_rotation(self) -> list[int]:
        """Return the gateways that get new connections."""
        numbers = []
        for number, gateway in enumerate(self.platform.gateways):
            stop = self.stop_of(number)
            if number in self.hidden:
                continue
            if stop is not None:
                if time.monotonic() < stop.sigterm_s + ROTATION_S:
                    numbers.append(number)
            elif gateway.is_ready():
                numbers.append(number)
        return numbers


class LagMeter(threading.Thread):
    """Measures how late this process runs, on a machine that may be busy."""

    def __init__(self):
        super().__init__(daemon=True)
        self.max_s = 0.0
        self.is_stopped = False

    def run(self):
        while not self.is_stopped:
            began_s = time.monotonic()
            time.sleep(LAG_POLL_S)
            self.max_s = max(self.max_s, time.monotonic() - began_s - LAG_POLL_S)


class Connection:
    """A caller's connection to a gateway, kept as long as that keeps it.

    :param world: the world.
    :param gateway: number of the gateway.
    :param caller: what kind of caller it is.
    :param name: begins the ids of its requests.
    :param draw: a random number generator.
    """

    def __init__(self, world, gateway, caller, name, draw):
        self.world = world
        self.gateway = gateway
        self.sent = 0
        self._caller = caller
        self._name = name
        self._draw = draw
        port = world.platform.gateways[gateway].ports["front"]
        self._http = http.client.HTTPConnection("127.0.0.1", port)
        self._http.timeout = DEADLINE_S + PATIENCE_S
        self._socket = None
        self._reads_slowly = draw.random() < SLOW_READ_SHARE
        self.is_open = True

    def connect(self) -> bool:
        try:
            self._http.connect()
        except OSError:
            self.close()
            return False
        # The state of the connection can be asked for after the client closed its own.
        self._socket = self._http.sock.dup()
        if self._reads_slowly:
            option = (socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
            self._http.sock.setsockopt(*option)
        return True

    def close(self):
        self.is_open = False
        self._http.close()
        if self._socket is not None:
            self._socket.close()

    def next_id(self) -> str:
        return f"{self._name}-{self.sent}"

    def send(self, path=None, deadline_s=None) -> SentRequest:
        """Send a request, and read its response."""
        draw = self._draw
        path = path or draw.choice(PATHS)
        if deadline_s is None:
            is_short = draw.random() < SHORT_SHARE
            deadline_s = draw.uniform(*SHORT_DEADLINES_S) if is_short else DEADLINE_S
        request = SentRequest(
            self.next_id(), path, self.gateway, self._caller, self.sent, deadline_s
        )
        request.is_chunked = path != "/safe/x" and draw.random() < CHUNKED_SHARE
        request.reads_slowly = self._reads_slowly
        if self._reads_slowly and draw.random() < LARGE_SHARE:
            padding = draw.choice(PADDING_BYTES)
            self.world.change_shape(request.request_id, padding_bytes=padding)
        self.sent += 1
        self.world.requests.append(request)
        try:
            self._exchange(request)
            request.ended_s = time.monotonic()
        except (OSError, http.client.HTTPException) as error:
            request.ended_s = time.monotonic()
            request.detail = repr(error)
            request.gave_up = isinstance(error, TimeoutError)
            request.was_reset = isinstance(error, ConnectionError) and (
                not isinstance(error, http.client.RemoteDisconnected)
                or self._is_reset()
            )
            self.close()
        if self.sent >= MAX_ON_CONNECTION:
            self.close()
        return request

    def _is_reset(self) -> bool:
        """Return whether the other end did not take what was sent.

        Whoever closes a socket with bytes unread, or gets some afterwards, resets it.
        """
        time.sleep(RESET_AFTER_S)
        information = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return information[0] == TCP_CLOSE

    def _exchange(self, request):
        draw = self._draw
        headers = {
            "Host": "a.example",
            "X-Request-Id": request.request_id,
            "X-Deadline-Ms": f"{request.deadline_s * 1000:.0f}",
            "Authorization": f"Token {KEY}",
        }
        if request.path in STREAM_PATHS:
            part = f"part{draw.randrange(9)}"
            headers |= self.world.platform.stream_headers(part)
        request.sent_s = time.monotonic()
        if request.path == "/safe/x":
            self._http.request("GET", request.path, headers=headers)
        elif request.is_chunked:
            headers["Transfer-Encoding"] = "chunked"
            body = self._body_pieces()
            self._http.request("POST", request.path, body, headers, encode_chunked=True)
        else:
            self._http.request("POST", request.path, b"question", headers)
        request.last_byte_s = time.monotonic()
        response = self._http.getresponse()
        request.head_s = time.monotonic()
        request.status = response.status
        self._read(request, response)

    def _body_pieces(self):
        pauses = self._draw.choice(((), (0.0,), (0.05, 0.05), (0.3, 0.3)))
        yield b"question"
        for pause_s in pauses:
            time.sleep(pause_s)
            yield b" and more"

    def _read(self, request, response):
        expected = self.world.whole(request)
        data = bytearray()
        try:
            while True:
                size = SLOW_READ_BYTES if request.reads_slowly else 65_536
                piece = response.read1(size)
                if not piece:
                    break
                request.first_byte_s = request.first_byte_s or time.monotonic()
                data += piece
                if request.reads_slowly:
                    time.sleep(SLOW_READ_PAUSE_S)
            if response.length:
                raise http.client.IncompleteRead(bytes(data), response.length)
            request.is_complete = True
        finally:
            request.received_bytes = len(data)
            request.is_whole = request.is_complete and data == expected
            if response.status == 200 and not request.is_whole:
                request.is_wrong = request.is_complete or not expected.startswith(data)
        # The next response cannot be read before.
        response.close()
        if response.will_close:
            self.close()


class Caller(threading.Thread):
    """Sends one request after the other on connections that it keeps.

    :param world: the world.
    :param number: its number.
    :param until_s: when it stops.
    """

    #: pauses between two requests, by kind of caller: none, short, or until late in the
    #: stop of its gateway.
    KINDS = ("eager", "paced", "late")

    def __init__(self, world, number, until_s):
        super().__init__(daemon=True)
        self.world = world
        self.kind = self.KINDS[number % len(self.KINDS)]
        self._number = number
        self._until_s = until_s
        self._draw = random.Random(f"{world.seed}/caller/{number}")
        self._connections = 0

    def run(self):
        connection = None
        while time.monotonic() < self._until_s:
            if connection is None or not connection.is_open:
                connection = self._connect()
                continue
            request = connection.send()
            if request.status != 200:
                time.sleep(AFTER_REFUSAL_S)
            self._pause(connection)
        if connection is not None:
            connection.close()

    def _connect(self) -> Connection | None:
        numbers = self.world.in_rotation()
        if numbers:
            self._connections += 1
            name = f"{self.kind}{self._number}-{self._connections}"
            gateway = self._draw.choice(numbers)
            connection = Connection(self.world, gateway, self.kind, name, self._draw)
            if connection.connect():
                return connection
        time.sleep(0.05)
        return None

    def _pause(self, connection):
        if self.kind == "eager" or not connection.is_open:
            return
        stop = self.world.stop_of(connection.gateway)
        if self.kind == "paced" or stop is None:
            time.sleep(self._draw.uniform(0.0, MAX_PAUSE_S))
            return
        after_s = self._draw.uniform(LATE_SHARE, 1.0) * stop.grace_s
        time.sleep(max(0.0, stop.sigterm_s + after_s - time.monotonic()))


class SpanningCaller(threading.Thread):
    """A caller whose response begins before a SIGTERM and ends some time after it.

    Its next request follows at once, or as soon as it counts as late; others follow at
    once, until its connection is closed.

    :param world: the world.
    :param stop: the stop, which is about to begin.
    :param name: begins the ids of its requests.
    :param draw: a random number generator.
    """

    def __init__(self, world, stop, name, draw):
        super().__init__(daemon=True)
        self.world = world
        self.stop = stop
        self._name = name
        self._draw = draw

    def run(self):
        arguments = (self.world, self.stop.gateway, "spanning", self._name, self._draw)
        connection = Connection(*arguments)
        if not connection.connect():
            return
        share = self._draw.uniform(*SPANNING_SHARES)
        spans_s = BEFORE_STOP_S + share * self.stop.grace_s
        events = round(spans_s / self.world.event_pause_s)
        self.world.change_shape(connection.next_id(), events=events)
        connection.send(self._draw.choice(STREAM_PATHS), DEADLINE_S)
        if self._draw.random() < 0.5 and self.stop.sigterm_s:
            late_s = self.stop.sigterm_s + LATE_SHARE * self.stop.grace_s
            time.sleep(max(0.0, late_s + 0.01 - time.monotonic()))
        while connection.is_open and not self.stop.gone_s:
            connection.send()
        connection.close()


class UnusedConnectionCaller(threading.Thread):
    """A caller whose connection has carried nothing when the SIGTERM comes.

    :param world: the world.
    :param stop: the stop, which is about to begin.
    :param name: begins the ids of its requests.
    :param draw: a random number generator.
    """

    def __init__(self, world, stop, name, draw):
        super().__init__(daemon=True)
        self.world = world
        self.stop = stop
        self._name = name
        self._draw = draw

    def run(self):
        arguments = (self.world, self.stop.gateway, "unused", self._name, self._draw)
        connection = Connection(*arguments)
        if not connection.connect():
            return
        # An idle connection is closed after a while; so most are used before that.
        after_s = self._draw.uniform(0.0, LATE_SHARE) * self.stop.grace_s
        time.sleep(BEFORE_STOP_S + after_s)
        while connection.is_open and not self.stop.gone_s:
            connection.send()
        connection.close()


class StopWork(PlannedWork):
    """Planned work, of which stops are the most.

    :param world: the world.
    :param draw: a random number generator.
    """

    TIMEOUTS_MS = ROUTE_TIMEOUTS_MS

    def __init__(self, world, draw):
        super().__init__(world.platform, draw)
        self.stop_world = world
        self.callers: list[threading.Thread] = []
        self._slowed: dict[Stop, dict[str, float]] = {}

    def stop_gateway(self):
        """Stop a gateway gracefully and start it again."""
        number = self._take_gateway()
        if number is not None:
            self._stop(number)

    def stop_unused_gateway(self):
        """Stop a gateway that has not served any request since its start."""
        with self._lock:
            free = self.stop_world.hidden - self._busy_gateways
            if not free:
                return
            number = min(free)
            self._busy_gateways.add(number)
        self._stop(number)

    def _take_gateway(self) -> int | None:
        """Reserve a gateway that callers use; half of them are left alone."""
        with self._lock:
            hidden = self.stop_world.hidden
            visible = set(range(len(self.world.gateways))) - hidden
            free = sorted(visible - self._busy_gateways)
            if len(free) <= len(visible) // 2:
                return None
            number = self.draw.choice(free)
            self._busy_gateways.add(number)
            return number

    def _stop(self, number):
        world, gateway = self.stop_world, self.world.gateways[number]
        stop = Stop(number, world.grace_s, is_unused=number in world.hidden)
        with self._lock:
            stop_number = len(world.stops)
            world.stops.append(stop)
            draw = random.Random(f"{world.seed}/stop/{stop_number}")
        try:
            self._begin_callers(stop, stop_number, draw)
            time.sleep(BEFORE_STOP_S)
            if draw.random() < 0.2:
                gateway.process.send_signal(signal.SIGHUP)
            if draw.random() < 0.6:
                stop.slowness = draw.uniform(*SLOWNESS)
            self._slow_engines(stop, draw)
            stop.sigterm_s = time.monotonic()
            gateway.process.send_signal(signal.SIGTERM)
            self._signal_again(stop, gateway, draw)
            self._wait_until_gone(stop, gateway)
            self._end_slowness(stop)
            gateway.start()
            wait_until("the gateway is ready", gateway.is_ready, 60)
        finally:
            self._busy_gateways.discard(number)

    def _begin_callers(self, stop, stop_number, draw):
        kinds = [UnusedConnectionCaller] * UNUSED
        # Where none of these has ended, a gateway has not completed any request either.
        if not stop.is_unused or draw.random() < 0.5:
            kinds += [SpanningCaller] * SPANNING
        for number, kind in enumerate(kinds):
            name = f"stop{stop_number}-{number}"
            own_draw = random.Random(f"{self.stop_world.seed}/{name}")
            thread = kind(self.stop_world, stop, name, own_draw)
            self.callers.append(thread)
            thread.start()

    def _slow_engines(self, stop, draw):
        names = [name for name in sorted(self.world.replicas) if draw.random() < 0.7]
        with self._lock:
            self._slowed[stop] = dict.fromkeys(names, stop.slowness)
            self._apply_slowness()

    def _end_slowness(self, stop):
        with self._lock:
            del self._slowed[stop]
            self._apply_slowness()

    def _apply_slowness(self):
        for name, replica in list(self.world.replicas.items()):
            factors = [slowed.get(name, 1.0) for slowed in self._slowed.values()]
            replica.slowness = max(factors, default=1.0)

    def _signal_again(self, stop, gateway, draw):
        kinds = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        chosen = [kind for kind in kinds if draw.random() < 0.3]
        times = sorted(draw.uniform(0.0, 0.9) * stop.grace_s for _ in chosen)
        for kind, at_s in zip(chosen, times, strict=True):
            left_s = stop.sigterm_s + at_s - time.monotonic()
            try:
                gateway.process.wait(max(0.0, left_s))
                return
            except subprocess.TimeoutExpired:
                gateway.process.send_signal(kind)
                stop.signals.append((kind.name, round(at_s, 2)))

    def _wait_until_gone(self, stop, gateway):
        left_s = stop.sigterm_s + stop.grace_s - time.monotonic()
        try:
            gateway.process.wait(max(0.0, left_s))
        except subprocess.TimeoutExpired:
            stop.was_killed = True
            gateway.process.kill()
            gateway.process.wait()
        stop.gone_s = time.monotonic()
        stop.status = gateway.process.returncode

    def release_engine(self):
        """Replace an engine: the new one starts first, the old one drains."""
        with self._lock:
            engines = [
                name
                for name, replica in sorted(self.world.replicas.items())
                if name.startswith("e") and not replica.is_old
            ]
            old = self.world.replicas[self.draw.choice(engines)]
            old.is_old = True
            self.replaced += 1
            name = f"e-new{self.replaced}"
            add_engine(self.stop_world, name, self.next_answer)
            self.world.list_replica(old.upstream_id, state="draining")
        time.sleep(self.stop_world.grace_s)
        self.world.unlist_replica(old.upstream_id)

    def join(self):
        super().join()
        for caller in self.callers:
            caller.join()


def add_engine(world, name, next_answer):
    """Add an engine of the newest weights, and list it."""
    platform = world.platform
    replica = platform.add_replica(
        "engines",
        name,
        is_listed=False,
        version=max([1, *(r.version or 1 for r in platform.replicas.values())]),
        load_s=0.3,
    )
    replica.shape_of = world.shape_of
    replica.run_slots, replica.run_queue = RUN_SLOTS, RUN_QUEUE
    # Some run what waited in their queue though its connection was closed.
    replica.drops_left = len(platform.replicas) % 4 != 0
    replica.run_moves.next_answer = next_answer
    replica.is_old = False
    platform.list_replica(name, slots=RUN_SLOTS)


def start_world(world, gateways, engines, next_answer):
    """Start gateways in front of engines and plain replicas that queue, all sound."""
    platform = world.platform
    for number in range(engines):
        add_engine(world, f"e{number}", next_answer)
    for number in range(2):
        name = f"p{number}"
        replica = platform.add_replica("plain", name, is_listed=False)
        replica.shape_of = world.shape_of
        replica.run_slots, replica.run_queue = PLAIN_SLOTS, PLAIN_QUEUE
        platform.list_replica(name, slots=PLAIN_SLOTS)
    times = {"timeoutMs": max(ROUTE_TIMEOUTS_MS)}
    platform.add_route("/once/", "stream", "engines", maxAttempts=1, **times)
    platform.add_route("/resume/", "stream", "engines", resumable=True, **times)
    platform.add_route("/plain/", "non_idempotent", "plain", maxAttempts=1, **times)
    platform.add_route("/safe/", "idempotent", "plain", **times)
    platform.put_configuration()
    platform.name_weights(1)
    for _ in range(gateways + HIDDEN):
        platform.add_gateway(wait=False, slack=200, grace_s=world.grace_s)
    world.hidden = set(range(gateways, gateways + HIDDEN))
    for gateway in platform.gateways:
        wait_until("the gateway is ready", gateway.is_ready, 60)
        wait_until(
            "it lists replicas", lambda g=gateway: platform.knows_replicas(g), 60
        )


def draw_callers(draw) -> int:
    """Draw how many callers there are: little load, or engines that queue."""
    return draw.choice(CALLERS)


def draw_schedule(draw, for_s, grace_s):
    """Draw stops in turn and overlapping, and other planned work beside them."""
    schedule, at_s = [], 2.0
    while at_s < for_s - 0.5 * grace_s:
        schedule.append((at_s, draw.choice(STOP_KINDS)))
        if draw.random() < 0.5:
            schedule.append((at_s + draw.uniform(0.0, 0.5) * grace_s, "stop_gateway"))
        for _ in range(draw.randrange(4)):
            kind = draw.choice(BESIDE_KINDS)
            schedule.append((at_s + draw.uniform(0.0, grace_s), kind))
        at_s += draw.uniform(0.3, 1.5) * grace_s
    return sorted(schedule)


def serve_and_stop(world, callers, for_s, schedule, work):
    """Let callers send while gateways stop; then stop those that serve nothing.

    :returns: how long the stop of each gateway took that served nothing.
    """
    world.lag.start()
    started_s = time.monotonic()
    threads = [Caller(world, n, started_s + for_s) for n in range(callers)]
    for thread in threads:
        thread.start()
    for at_s, name in schedule:
        time.sleep(max(0.0, started_s + at_s - time.monotonic()))
        work.do(name)
    for thread in threads:
        thread.join()
    work.join()
    world.lag.is_stopped = True
    return _stop_idle(world)


def _stop_idle(world) -> list[float]:
    took = []
    began_s = time.monotonic()
    processes = [gateway.process for gateway in world.platform.gateways]
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        try:
            process.wait(max(0.0, began_s + world.grace_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        took.append(round(time.monotonic() - began_s, 2))
        world.idle_statuses.append(process.returncode)
    return took
