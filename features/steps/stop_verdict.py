"""What became of requests around stops, judged by the rule on accepted requests."""

import collections
import os

import attrs
from platform_world import wait_until
from stop_world import LATE_SHARE, ONCE_PATHS, STREAM_PATHS

#: the rule: an unanswered request counts if it was not passed on, but its connection
#: was open for this long after its last byte.
UNREAD_S = 0.2
#: the rule covers this long after the grace.
AFTER_GRACE_S = 1.0
#: how long the runs may take that are left in the end.
QUEUES_TIMEOUT_S = 40.0
#: the last part of the grace; what is at work there may be cut.
LAST_SHARE = 5 / 6
#: tolerance of the time at which a deadline was reached.
DEADLINE_TOLERANCE_S = 0.02
#: the excuse of the rule for requests whose engine was at work until late.
AT_WORK = "at work at the end"
#: cuts of a kind whose story is told, and what is told of a line.
TOLD = 6
TOLD_FIELDS = ("by", "detail", "upstream", "status", "reason", "outcome", "source")
REFUSALS = (408, 421, 429, 503)


@attrs.define
class Cut:
    """A request whose connection ended without a complete response.

    :param request: the request.
    :param stop: the stop it ended in; ``None`` if it ended in none.
    :param excuse: why it does not count; ``""`` if it counts.
    :param traits: what is known about it, for counting.
    """

    request: object
    stop: object
    excuse: str
    traits: tuple[str, ...]

    @property
    def kind(self) -> str:
        return "; ".join(self.traits)


@attrs.define
class Verdict:
    """What became of all requests."""

    total: int = 0
    whole: int = 0
    statuses: collections.Counter = attrs.Factory(collections.Counter)
    statuses_in_stops: collections.Counter = attrs.Factory(collections.Counter)
    faults: list[Cut] = attrs.Factory(list)
    excused: list[Cut] = attrs.Factory(list)
    #: cuts in no stop, which the rule on stops does not cover.
    elsewhere: list[Cut] = attrs.Factory(list)
    refused: int = 0
    run_though_refused: list = attrs.Factory(list)
    run_twice: list[str] = attrs.Factory(list)
    at_work_twice: list[str] = attrs.Factory(list)
    wrong: list = attrs.Factory(list)
    stops: list = attrs.Factory(list)
    idle_stops_s: list[float] = attrs.Factory(list)
    idle_statuses: list[int] = attrs.Factory(list)
    #: requests that ended in a stop, by when they were sent and how they ended.
    in_stops: collections.Counter = attrs.Factory(collections.Counter)
    moves: int = 0
    queued: int = 0

    @property
    def failed_stops(self) -> list[int | None]:
        """With what processes ended whose stop failed, or that were killed."""
        statuses = [stop.status for stop in self.stops] + self.idle_statuses
        return [status for status in statuses if status != 0]

    @property
    def is_held(self) -> bool:
        return not (
            self.faults
            or self.run_though_refused
            or self.run_twice
            or self.at_work_twice
            or self.wrong
            or any(stop.was_killed for stop in self.stops)
            or self.failed_stops
        )


def wait_for_queues(world):
    """Wait until nothing waits or runs at any replica: what still runs counts."""
    replicas = world.platform.replicas.values()
    wait_until(
        "the replicas' queues are empty",
        lambda: not any(replica.slots_taken or replica.waiting for replica in replicas),
        QUEUES_TIMEOUT_S,
    )


def judge(world, idle_stops_s) -> Verdict:
    """Compare what callers got with what ran at the replicas."""
    verdict = Verdict(stops=world.stops, idle_stops_s=idle_stops_s)
    verdict.idle_statuses = world.idle_statuses
    seen = collections.defaultdict(list)
    for replica in world.platform.replicas.values():
        verdict.moves += len(replica.run_moves.asked)
        verdict.at_work_twice += replica.run_moves.doubles
        for request in list(replica.seen):
            verdict.queued += request.has_queued
            seen[request.headers.get("X-Request-Id", "")].append(request)
    for request in world.requests:
        _judge_request(world, verdict, request, seen[request.request_id])
    return verdict


def _judge_request(world, verdict, request, seen):
    verdict.total += 1
    verdict.whole += request.is_whole
    ran = [s for s in seen if s.ran]
    began = [s for s in ran if "Kv-From" not in s.headers]
    if request.path in ONCE_PATHS and len(began) > 1:
        verdict.run_twice.append(request.request_id)
    if request.is_wrong:
        verdict.wrong.append(request)
    stop = _stop_around(world, request)
    if stop is not None:
        verdict.in_stops[_sent(request, stop), request.status] += 1
    if not request.is_complete:
        cut = _judge_cut(world, request, seen)
        if cut.excuse:
            verdict.excused.append(cut)
        elif cut.stop is None:
            verdict.elsewhere.append(cut)
        else:
            verdict.faults.append(cut)
        return
    verdict.statuses[request.status] += 1
    if stop is not None:
        verdict.statuses_in_stops[request.status] += 1
    if request.status in REFUSALS:
        verdict.refused += 1
        if ran and request.path != "/safe/x":
            verdict.run_though_refused.append(request)


def _stop_around(world, request):
    """Return the stop of its gateway in which a request ended, if any."""
    for stop in world.stops:
        until_s = stop.sigterm_s + stop.grace_s + AFTER_GRACE_S
        if (
            stop.gateway == request.gateway
            and stop.sigterm_s
            and stop.sigterm_s <= _ended_s(stop, request) <= until_s
            and request.sent_s <= stop.gone_s
        ):
            return stop
    return None


def _ended_s(stop, request) -> float:
    """Return when a connection ended: at the latest with its process."""
    if request.sent_s <= stop.gone_s:
        return min(request.ended_s, stop.gone_s)
    return request.ended_s


def _judge_cut(world, request, seen) -> Cut:
    stop = _stop_around(world, request)
    ended_s = request.ended_s if stop is None else _ended_s(stop, request)
    traits = (_progress(request, seen), _sent(request, stop), _engine(stop, seen))
    if request.reads_slowly:
        traits = (*traits, "read slowly")
    if not request.last_byte_s:
        excuse = "not sent whole"
    elif request.gave_up:
        excuse = "its caller gave up"
    elif not seen and request.was_reset:
        excuse = "not read"
    elif not seen and ended_s <= request.last_byte_s + UNREAD_S:
        excuse = "closed within 0.2 s"
    elif ended_s >= request.sent_s + request.deadline_s - DEADLINE_TOLERANCE_S:
        excuse = "deadline"
    elif stop is not None and _is_excused_in(stop, request, seen, ended_s):
        excuse = AT_WORK
    else:
        excuse = ""
    return Cut(request, stop, excuse, traits)


def _is_excused_in(stop, request, seen, ended_s) -> bool:
    late_s = stop.sigterm_s + LATE_SHARE * stop.grace_s
    if request.last_byte_s > late_s:
        return False
    last_s = stop.sigterm_s + LAST_SHARE * stop.grace_s
    return any(
        s.at_work_s
        and s.at_work_s <= ended_s
        and min(s.answered_s or ended_s, ended_s) >= last_s
        for s in seen
    )


def _progress(request, seen) -> str:
    if not seen:
        return "not passed on"
    if not request.head_s:
        return "response not begun"
    return "no byte of the body" if not request.first_byte_s else "response begun"


def _sent(request, stop) -> str:
    if stop is None:
        return "in no stop"
    after_s = (request.last_byte_s or request.sent_s) - stop.sigterm_s
    # The rule's seconds, of a grace of eight.
    after_s *= 8 / stop.grace_s
    if after_s < 0:
        return "sent before"
    if after_s <= 1:
        return "sent within 1 s"
    return "sent within 3 s" if after_s <= 3 else "sent later than 3 s"


def _engine(stop, seen) -> str:
    if not seen:
        return "at no engine"
    ran = [s for s in seen if s.at_work_s]
    if not ran:
        return "waited at the engine"
    last = max(ran, key=lambda s: s.at_work_s)
    if stop is None:
        return f"engine {last.ended or 'at work'}"
    last_s = stop.sigterm_s + LAST_SHARE * stop.grace_s
    if last.answered_s and last.answered_s < last_s:
        return f"engine ended before the last sixth ({last.ended or 'not whole'})"
    return "engine at work in the last sixth"


def _at_work_by_sent(verdict) -> str:
    """Return how many cuts were excused by work at the end, by when they were sent."""
    cuts = [cut for cut in verdict.excused if cut.excuse == AT_WORK]
    counts = collections.Counter(cut.traits[1] for cut in cuts)
    return ", ".join(f"at work, {sent}: {n}" for sent, n in sorted(counts.items()))


def _story(world, cut) -> list[str]:
    """Return when a cut request was sent and ended, and its gateway's lines."""
    request, from_s = cut.request, cut.stop.sigterm_s if cut.stop else 0.0
    times = (request.sent_s, request.last_byte_s, request.head_s, request.ended_s)
    told = [f"{at_s - from_s:.3f}" if at_s else "never" for at_s in times]
    lines = [
        f"    {request.request_id} {request.path} ({request.caller}, {cut.kind}): sent "
        f"{told[0]} to {told[1]}, head {told[2]}, ended {told[3]}, {request.detail}"
    ]
    for line in world.platform.gateways[request.gateway].lines():
        if line.get("request") == request.request_id:
            fields = [f"{f}={line[f]}" for f in TOLD_FIELDS if line.get(f) is not None]
            at_s = line["mono"] - from_s
            lines.append(f"      {at_s:.3f} {line['event']} {' '.join(fields)}")
    return lines


def describe(world, verdict) -> str:
    """Return one line, and below it what counts."""
    took = sorted(round(s.gone_s - s.sigterm_s, 2) for s in verdict.stops if s.gone_s)
    killed = sum(s.was_killed for s in verdict.stops)
    streams = [r for r in world.requests if r.path in STREAM_PATHS]
    served_streams = sum(r.is_whole for r in streams)
    share = verdict.whole / max(1, verdict.total)
    parts = [
        f"{len(verdict.faults)} cut of {verdict.total}",
        f"in no stop {len(verdict.elsewhere)}",
        f"excused {len(verdict.excused)} ({_at_work_by_sent(verdict)})",
        f"served {share:.3f} ({verdict.whole}; streams {served_streams} of "
        f"{len(streams)})",
        f"refused {verdict.refused}, run though refused "
        f"{len(verdict.run_though_refused)}",
        f"twice {len(verdict.run_twice)}, at work twice "
        f"{len(verdict.at_work_twice)}, wrong {len(verdict.wrong)}",
        f"statuses in stops {dict(sorted(verdict.statuses_in_stops.items()))}",
        f"queued {verdict.queued}, moves {verdict.moves}",
        f"{len(took)} stops of {took[0] if took else 0} to {took[-1] if took else 0} "
        f"s, killed {killed}, failed {verdict.failed_stops}; idle ones "
        f"{verdict.idle_stops_s}; lag at most "
        f"{world.lag.max_s:.2f} s, load {os.getloadavg()[0]:.0f}",
    ]
    lines = ["; ".join(parts)]
    groups = (
        ("COUNTED", verdict.faults),
        ("elsewhere", verdict.elsewhere),
        ("excused", verdict.excused),
    )
    for name, cuts in groups:
        kinds = collections.Counter(
            (cut.excuse, cut.kind) if cut.excuse else (cut.kind,) for cut in cuts
        )
        for kind, count in kinds.most_common():
            lines.append(f"  {name} {count}: {' | '.join(kind)}")
    for (sent, status), count in sorted(verdict.in_stops.items()):
        lines.append(f"  ended in stops, {sent}, status {status}: {count}")
    for cut in (*verdict.faults[:TOLD], *verdict.elsewhere[:TOLD]):
        lines += _story(world, cut)
    for request in verdict.run_though_refused[:5]:
        lines.append(f"  run though refused: {request}")
    for request in verdict.wrong[:5]:
        lines.append(f"  wrong: {request}")
    return "\n".join(lines)
