"""Request matrix: every fault at every step of a request."""

import contextlib

import attrs
from matrix_world import ANSWER_TOKENS, MODEL, PROMPT, MatrixRouter, RouterKilled, World

from kumquatseam.errors import KumquatseamError
from kumquatseam.fleet import (
    ChangeRefusedError,
    EntityChange,
    FieldValue,
    apply_changes,
)
from kumquatseam.request_errors import UpstreamError
from kumquatseam.services import ServiceCall
from kumquatseam.serving import Completion, may_have_run

STEPS = ("claim", "connect", "first_token", "middle", "end")
#: "keyed" requests carry an idempotency key.
KINDS = ("repeatable", "keyed", "service_get", "service_post", "service_keyed")
COMPLETE_ANSWER = tuple(f"w{index}" for index in range(ANSWER_TOKENS))


def _raise_upstream_error(name: str, step: str, detail: str):
    raise UpstreamError(name, step != "connect", detail)


def crash(world, name, step):
    engine = world.engines.get(name)
    if engine:
        engine.crash()
        engine.down = True
    _raise_upstream_error(name, step, "connection reset")


def crash_and_restart(world, name, step):
    engine = world.engines.get(name)
    if engine:
        engine.crash()
        world.deliver_stale_event(name)
    _raise_upstream_error(name, step, "connection reset")


def time_out(world, name, step):
    world.clock.sleep(1.0)
    _raise_upstream_error(name, step, "timed out")


def reject_as_full(world, name, step):
    raise UpstreamError(name, False, "HTTP 503, not run")


def cross_answers(world, name, step):
    _raise_upstream_error(name, step, "crossed answer of another request")


def change_weights(world, name, step):
    """Load new weights on an engine that keeps its cached blocks."""
    if name in world.engines:
        world.engines[name].version = "v2"


def leave_instance_list(world, name, step):
    world.leaving.add(name)
    world.router.router.fleet.set_leaving(world.leaving)


def drop_engine(world, name, step):
    if name in world.engines:
        _apply_change(world, EntityChange("alter", "team", "a", _upstreams(name)))


def drop_team(world, name, step):
    _apply_change(world, EntityChange("drop", "team", "a"))


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


def _apply_change(world, change) -> None:
    live = world.router.live
    with contextlib.suppress(ChangeRefusedError):
        changed = apply_changes(live.current, [change])
        live.advance(changed, live.next_offset + 1)


ENGINE_FAULTS = (
    crash,
    crash_and_restart,
    time_out,
    reject_as_full,
    cross_answers,
    change_weights,
    leave_instance_list,
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
class AttemptResult:
    """The result of one call, as received by its caller."""

    is_complete: bool
    refused_unexecuted: bool
    failure: str = ""


def cells():
    """Yield the cells: kind of request, fault, step, number of injections."""
    for kind in KINDS:
        for fault in FAULTS:
            for step in STEPS:
                for times in (1, 2):
                    if _applies(kind, fault, step):
                        yield kind, fault, step, times


def _applies(kind, fault, step) -> bool:
    if kind.startswith("service"):
        if fault in (
            change_weights,
            leave_instance_list,
            drop_engine,
            crash_and_restart,
        ):
            return False
        if step in ("middle", "end"):
            return False
    if fault is reject_as_full:
        return step == "connect"
    if fault is cross_answers:
        return step in ("first_token", "middle", "end")
    return step != "claim" or fault not in ENGINE_FAULTS


def run_cell(kind, fault, step, times) -> list[str]:
    """Run one cell and return the violated invariants."""
    world = World()
    violations: list[str] = []
    team = world.settings.configuration.find("team", "a")
    if step == "claim":
        for _ in range(times):
            try:
                fault(world, "e0", step)
            except RouterKilled:
                world.router = MatrixRouter(world)
                world.report()
    else:
        world.trigger.step, world.trigger.inject_fault = step, fault
        world.trigger.remaining = times
    first = _attempt(world, team, kind, "r1")
    world.heal()
    _check_after(world, kind, "r1", first, violations)
    must_succeed = fault in ENGINE_FAULTS and kind in ("repeatable", "service_get")
    if must_succeed and not first.is_complete:
        violations.append(f"retryable request failed: {first.failure}")
    world.router = MatrixRouter(world)
    world.report()
    again = _attempt(world, team, kind, "r2")
    _check_after(world, kind, "r2", again, violations)
    if "keyed" in kind and _runs(world, "r1") + _runs(world, "r2") > 1:
        violations.append("a request with an idempotency key ran twice")
    if "keyed" in kind and first.refused_unexecuted and not again.is_complete:
        violations.append(
            f"rejected as not executed, but its retry failed: {again.failure}"
        )
    if "keyed" not in kind and not again.is_complete:
        violations.append(f"not served after the fault was repaired: {again.failure}")
    return violations


def _attempt(world, team, kind, request_id) -> AttemptResult:
    key = "the-key" if "keyed" in kind else None
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
        return AttemptResult(False, False, "router killed")
    except KumquatseamError as error:
        return AttemptResult(False, not may_have_run(error), repr(error))
    if leaving & set(world.sent_to[sent_before:]):
        return AttemptResult(False, False, "sent to a leaving engine")
    return AttemptResult(
        texts == COMPLETE_ANSWER, False, f"incomplete or out of order: {texts}"
    )


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
    return COMPLETE_ANSWER if answer.body == b"done" else ()


def _runs(world, request_id) -> int:
    on_engines = sum(e.runs.count(request_id) for e in world.engines.values())
    return on_engines + world.service_runs.count(request_id)


def _check_after(world, kind, request_id, result, violations) -> None:
    """Check the invariants that hold after every attempt, complete or not."""
    runs = _runs(world, request_id)
    if result.refused_unexecuted and runs:
        violations.append(
            f"{request_id} was rejected as not executed but ran {runs} times"
        )
    if kind != "repeatable" and kind != "service_get" and runs > 1:
        violations.append(f"{request_id} must not be retried but ran {runs} times")
    if runs > 3:
        violations.append(f"{request_id} ran {runs} times, above its limit of attempts")
    for engine in world.engines.values():
        if engine.stale_hits:
            violations.append(
                f"cached blocks of other weights used: {engine.stale_hits}"
            )
    router = world.router
    if router.router.fleet.in_flight() or router.running.all():
        violations.append("a completed request is still counted as running")
    if router.limiter.running():
        violations.append("a completed request is still counted for its team")
