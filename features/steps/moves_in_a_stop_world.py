"""Streams that may run once, at gateways that stop while engines are emptied."""

import http.client
import random
import threading
import time

import attrs
from platform_moves import MoveAnswer
from platform_world import KEY, wait_until

#: pause between two events of a stream.
EVENT_PAUSE_S = 0.05
#: grace of the gateways, and the part of it after which a run still at work is excused.
GRACE_S = 4.0
EXCUSED_FROM_S = GRACE_S * 5 / 6
#: until when, after the SIGTERM, a request must be sent to be excused.
EXCUSED_SENT_S = 3.0
#: until when, after the grace, the end of a connection counts.
COUNTS_AFTER_S = 1.0


@attrs.define(eq=False)
class Stream:
    """A stream, and what its caller got.

    :param gateway: number of its gateway.
    :param length: number of its events.
    :param events: how many of them arrived.
    """

    request_id: str
    gateway: int
    length: int
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    events: int = 0
    is_whole: bool = False
    detail: str = ""


class StreamCaller(threading.Thread):
    """Reads one stream.

    :param world: the platform.
    :param stream: which one.
    """

    def __init__(self, world, stream):
        super().__init__(daemon=True)
        self.world = world
        self.stream = stream

    def run(self):
        stream = self.stream
        port = self.world.gateways[stream.gateway].ports["front"]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
        headers = {
            "Host": "a.example",
            "X-Request-Id": stream.request_id,
            "X-Deadline-Ms": "14000",
            "Authorization": f"Token {KEY}",
            **self.world.stream_headers(f"part-{stream.request_id}"),
        }
        stream.sent_s = time.monotonic()
        try:
            connection.request("POST", "/once/x", b"question", headers)
            response = connection.getresponse()
            stream.status = response.status
            while line := response.readline():
                stream.events += line.startswith(b"id:")
            stream.is_whole = stream.status == 200 and stream.events == stream.length
            stream.detail = f"{stream.events} of {stream.length} events"
        except (OSError, http.client.HTTPException) as error:
            stream.detail = f"{error!r} after {stream.events} of {stream.length}"
        finally:
            stream.ended_s = time.monotonic()
            connection.close()


class StoppingWorld:
    """Gateways, engines and streams of one scenario.

    :param world: the platform.
    :param seed: of what is drawn.
    """

    def __init__(self, world, seed=1):
        self.world = world
        self.draw = random.Random(seed)
        self.callers: list[StreamCaller] = []
        self.stops: dict[int, float] = {}
        self.weights = 1
        #: returns what a move does.
        self.answer = lambda order: MoveAnswer.DONE

    def start(self, gateways, engines, **options):
        for number in range(engines):
            replica = self.world.add_replica(
                "engines",
                f"e{number}",
                version=1,
                event_pause_s=EVENT_PAUSE_S,
                load_s=0.3,
            )
            replica.run_moves.next_answer = lambda order: self.answer(order)
        self.world.add_route(
            "/once/", "stream", "engines", maxAttempts=1, timeoutMs=15_000
        )
        self.world.put_configuration()
        self.world.name_weights(1)
        for _ in range(gateways):
            self.world.add_gateway(wait=False, **options)
        for gateway in self.world.gateways:
            wait_until("the gateway is ready", gateway.is_ready, 60)
            wait_until(
                "it lists replicas", lambda g=gateway: self.world.knows_replicas(g), 60
            )

    def send(self, gateway, length) -> Stream:
        """Begin a stream."""
        stream = Stream(f"s{len(self.callers)}", gateway, length)
        for replica in self.world.replicas.values():
            replica.lengths[stream.request_id] = length
        self.callers.append(StreamCaller(self.world, stream))
        self.callers[-1].start()
        return stream

    def name_weights(self):
        self.weights += 1
        self.world.name_weights(self.weights)

    def stop(self, gateway):
        """Send SIGTERM to a gateway."""
        self.stops[gateway] = time.monotonic()
        self.world.gateways[gateway].process.terminate()

    def join(self):
        for caller in self.callers:
            caller.join()

    @property
    def streams(self) -> list[Stream]:
        return [caller.stream for caller in self.callers]

    def runs(self, request_id) -> list:
        """Return what ran of a request at all engines, in order."""
        found = [
            seen
            for replica in self.world.replicas.values()
            for seen in list(replica.seen)
            if seen.ran and seen.headers.get("X-Request-Id") == request_id
        ]
        return sorted(found, key=lambda seen: seen.began_s)

    def is_cut(self, stream) -> bool:
        """Return whether an accepted stream ended incomplete."""
        has_run = bool(self.runs(stream.request_id))
        return not stream.is_whole and stream.status not in (429, 503) and has_run

    def lost(self, stops_only=True) -> list[Stream]:
        """Return the streams that ended incomplete, and why is no excuse.

        :param stops_only: whether only what ended around a stop counts.
        """
        return [
            s for s in self.streams if self.is_cut(s) and self._counts(s, stops_only)
        ]

    def _counts(self, stream, stops_only):
        stop_s = self.stops.get(stream.gateway)
        last_s = GRACE_S + COUNTS_AFTER_S
        if stop_s is None or not 0.0 <= stream.ended_s - stop_s <= last_s:
            return not stops_only
        # A run that goes on elsewhere is sent once more.
        worked_until_s = max(
            (
                seen.answered_s or time.monotonic()
                for seen in self.runs(stream.request_id)
                if seen.arrived_s <= stop_s + EXCUSED_SENT_S
            ),
            default=0.0,
        )
        return worked_until_s < stop_s + EXCUSED_FROM_S

    def describe(self, streams) -> str:
        """Return what is known of streams."""
        texts = []
        for stream in streams[:6]:
            zero_s = self.stops.get(stream.gateway, stream.sent_s)
            runs = [
                (
                    seen.headers["X-Expect-Instance"],
                    round(seen.began_s - zero_s, 2),
                    round(seen.answered_s - zero_s, 2),
                    seen.events_sent,
                )
                for seen in self.runs(stream.request_id)
            ]
            lines = [
                f"    {line['event']} "
                + " ".join(
                    f"{name}={line[name]}"
                    for name in ("by", "detail", "upstream", "reason", "outcome")
                    if line.get(name) is not None
                )
                for line in self.world.gateways[stream.gateway].lines()
                if line.get("request") == stream.request_id
            ]
            texts.append(
                f"{stream.request_id} sent {stream.sent_s - zero_s:.2f} ended "
                f"{stream.ended_s - zero_s:.2f}: {stream.detail}; runs {runs}\n"
                + "\n".join(lines)
            )
        return f"{len(streams)} of {len(self.callers)}\n" + "\n".join(texts)
