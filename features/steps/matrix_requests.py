"""The request half of the fault matrix: every fault at every step of a request."""

import contextlib

import attrs
from matrix_world import ANSWER_TOKENS, MODEL, PROMPT, MatrixRouter, RouterKilled, World

from kumquatseam.errors import KumquatseamError, UpstreamError
from kumquatseam.fleet import (
    ChangeRefusedError,
    EntityChange,
    FieldValue,
    apply_changes,
)
from kumquatseam.services import ServiceCall
from kumquatseam.serving import Completion, may_have_run

STEPS = ("claim", "connect", "first_token", "middle", "end")
KINDS = ("repeatable", "marked", "service_get", "service_post", "service_marked")
WHOLE = tuple(f"w{index}" for index in range(ANSWER_TOKENS))


def _break(name: str, step: str, detail: str):
    raise UpstreamError(name, step != "connect", detail)


def crash(world, name, step):
    engine = world.engines.get(name)
    if engine:
        engine.crash()
        engine.down = True
    _break(name, step, "connection reset")


def crash_and_return_empty(world, name, step):
    engine = world.engines.get(name)
    if engine:
        engine.crash()
        world.late_event(name)
    _break(name, step, "connection reset")


def go_silent(world, name, step):
    world.clock.sleep(1.0)
    _break(name, step, "timed out")


def be_full(world, name, step):
    raise UpstreamError(name, False, "HTTP 503, not run")


def cross_answers(world, name, step):
    _break(name, step, "crossed answer of another request")


def change_weights(world, name, step):
    """New weights on an engine that keeps its cached blocks."""
    if name in world.engines:
        world.engines[name].version = "v2"


def leave(world, name, step):
    world.leaving.add(name)
    world.router.router.fleet.set_leaving(world.leaving)


def drop_engine(world, name, step):
    if name in world.engines:
        _advance(world, EntityChange("alter", "team", "a", _upstreams(name)))


def drop_team(world, name, step):
    _advance(world, EntityChange("drop", "team", "a"))


def log_down(world, name, step):
    world.log.faults.down = True


def log_loses_answer(world, name, step):
    world.log.faults.lose_answers += 1


def log_loses_append(world, name, step):
    world.log.faults.drop_appends += 1


def log_appends_late(world, name, step):
    world.log.faults.late_appends += 4


def log_slow(world, name, step):
    world.log.faults.slow_s = 5.0


def kill_router(world, name, step):
    raise RouterKilled


def _upstreams(name: str):
    others = [e for e in ("e0", "e1", "e2") if e != name]
    return (FieldValue("upstreams", ", ".join(others)),)


def _advance(world, change) -> None:
    live = world.router.live
    with contextlib.suppress(ChangeRefusedError):
        changed = apply_changes(live.current, [change])
        live.advance(changed, live.next_offset + 1)


ENGINE_FAULTS = (
    crash,
    crash_and_return_empty,
    go_silent,
    be_full,
    cross_answers,
    change_weights,
    leave,
)
FAULTS = (
    *ENGINE_FAULTS,
    drop_engine,
    drop_team,
    log_down,
    log_loses_answer,
    log_loses_append,
    log_appends_late,
    log_slow,
    kill_router,
)


@attrs.frozen
class Seen:
    """What the caller of one attempt saw."""

    whole: bool
    refused_not_run: bool
    failure: str = ""


def cells():
    """Yield every cell: a kind of request, a fault, a step, times it fires."""
    for kind in KINDS:
        for fault in FAULTS:
            for step in STEPS:
                for times in (1, 2):
                    if _applies(kind, fault, step):
                        yield kind, fault, step, times


def _applies(kind, fault, step) -> bool:
    if kind.startswith("service"):
        if fault in (change_weights, leave, drop_engine, crash_and_return_empty):
            return False
        if step in ("middle", "end"):
            return False
    if fault is be_full:
        return step == "connect"
    if fault is cross_answers:
        return step in ("first_token", "middle", "end")
    return step != "claim" or fault not in ENGINE_FAULTS


def run_cell(kind, fault, step, times) -> list[str]:
    """Run one cell and return what was broken."""
    world = World()
    broken: list[str] = []
    team = world.settings.configuration.find("team", "a")
    if step == "claim":
        for _ in range(times):
            try:
                fault(world, "e0", step)
            except RouterKilled:
                world.router = MatrixRouter(world)
                world.report()
    else:
        world.script.step, world.script.fire = step, fault
        world.script.left = times
    first = _attempt(world, team, kind, "r1")
    world.heal()
    _check_after(world, kind, "r1", first, broken)
    must_succeed = fault in ENGINE_FAULTS and kind in ("repeatable", "service_get")
    if must_succeed and not first.whole:
        broken.append(f"repeatable request lost: {first.failure}")
    world.router = MatrixRouter(world)
    world.report()
    again = _attempt(world, team, kind, "r2")
    _check_after(world, kind, "r2", again, broken)
    if "marked" in kind and _runs(world, "r1") + _runs(world, "r2") > 1:
        broken.append("a marked request ran twice")
    if "marked" in kind and first.refused_not_run and not again.whole:
        broken.append(f"refused as not run, yet its repeat is refused: {again.failure}")
    if "marked" not in kind and not again.whole:
        broken.append(f"not served after the fault healed: {again.failure}")
    return broken


def _attempt(world, team, kind, request_id) -> Seen:
    key = "the-key" if "marked" in kind else None
    sent_before = len(world.sent_to)
    leaving = set(world.leaving)
    try:
        if kind.startswith("service"):
            texts = _call_service(world, team, kind, request_id, key)
        else:
            texts = _complete(world, team, request_id, key)
    except RouterKilled:
        world.router = MatrixRouter(world)
        world.report()
        return Seen(False, False, "router killed")
    except KumquatseamError as error:
        return Seen(False, not may_have_run(error), repr(error))
    if leaving & set(world.sent_to[sent_before:]):
        return Seen(False, False, "sent to a leaving engine")
    return Seen(texts == WHOLE, False, f"incomplete or out of order: {texts}")


def _complete(world, team, request_id, key) -> tuple[str, ...]:
    priority = world.settings.configuration.priority("p")
    completion = Completion(
        request_id, team, MODEL, PROMPT, ANSWER_TOKENS, priority, key
    )
    answer = world.router.completions.serve(completion)
    texts = tuple(chunk.text for chunk in answer)
    assert answer.outcome is not None
    return texts


def _call_service(world, team, kind, request_id, key) -> tuple[str, ...]:
    method = "GET" if kind == "service_get" else "POST"
    service = world.settings.configuration.service("s")
    call = ServiceCall(request_id, method, "x", b"", None, team.name)
    answer = world.router.services.serve(team, service, call, key)
    return WHOLE if answer.body == b"done" else ()


def _runs(world, request_id) -> int:
    on_engines = sum(e.runs.count(request_id) for e in world.engines.values())
    return on_engines + world.service_runs.count(request_id)


def _check_after(world, kind, request_id, seen, broken) -> None:
    """Check what must hold after any attempt, whole or not."""
    runs = _runs(world, request_id)
    if seen.refused_not_run and runs:
        broken.append(f"{request_id} was refused as not run but ran {runs} times")
    if kind != "repeatable" and kind != "service_get" and runs > 1:
        broken.append(f"{request_id} must not be repeated but ran {runs} times")
    if runs > 3:
        broken.append(f"{request_id} ran {runs} times, over its attempts")
    for engine in world.engines.values():
        if engine.stale_hits:
            broken.append(f"stale cached work used: {engine.stale_hits}")
    router = world.router
    if router.router.fleet.in_flight() or router.running.all():
        broken.append("a request that ended still counts as running")
    if router.limiter.running():
        broken.append("a team's request that ended still counts")
