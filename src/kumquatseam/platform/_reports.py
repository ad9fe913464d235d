"""Decoding the responses of engines to calls of rollouts."""

from collections.abc import Mapping

from kumquatseam.platform._entries import (
    born_ms_of,
    checked_field,
    count_field,
    text_field,
    weights_of,
)
from kumquatseam.platform._values import decode_json
from kumquatseam.rollouts import EngineReport, MoveOutcome, MoveResult

_MOVE_OUTCOMES = {
    200: MoveOutcome.DONE,
    404: MoveOutcome.ENDED,
    409: MoveOutcome.IN_PROGRESS,
    503: MoveOutcome.NO_ROOM,
}


def decode_report(value: bytes) -> EngineReport:
    """Decode an engine's status report.

    :raises DecodingError: if it is invalid.
    """
    return decode_json("report", value, _report)


def decode_move(status: int, value: bytes) -> MoveResult:
    """Decode an engine's response to a call that moves a run.

    :param status: its HTTP status.
    :raises DecodingError: if it is invalid.
    """
    outcome = _MOVE_OUTCOMES.get(status, MoveOutcome.REFUSED)
    if outcome is MoveOutcome.DONE:
        return decode_json("moved run", value, _moved_run)
    if outcome is MoveOutcome.NO_ROOM and value:
        return decode_json("run not moved", value, _run_not_moved)
    return MoveResult(outcome)


def _report(raw: Mapping) -> EngineReport:
    return EngineReport(
        weights=weights_of(raw["models"]),
        is_busy=checked_field(raw, "busy", lambda value: isinstance(value, bool)),
        orders_accepted=count_field(raw, "sequence"),
        waiting=count_field(raw, "waiting"),
        running=count_field(raw, "running"),
        born_ms=born_ms_of(raw),
    )


def _moved_run(raw: Mapping) -> MoveResult:
    # Despite its name, createRevision is the number of events generated so far.
    return MoveResult(
        MoveOutcome.DONE, text_field(raw, "handle"), count_field(raw, "createRevision")
    )


def _run_not_moved(raw: Mapping) -> MoveResult:
    # With a handle the run has stopped, and its source keeps its memory.
    handle = text_field(raw, "handle") if "handle" in raw else ""
    return MoveResult(MoveOutcome.NO_ROOM, handle)
