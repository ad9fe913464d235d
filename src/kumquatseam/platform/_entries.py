"""Decoding the entries and reports of model servers.

Entries may come from any writer, so the type and range of each field are checked;
one invalid field makes the whole entry invalid.
"""

import ipaddress
import math
import re
from collections.abc import Callable, Mapping

from kumquatseam.platform._values import decode_json
from kumquatseam.rollouts import EngineReport, MoveOutcome, MoveResult
from kumquatseam.upstreams import Upstream, WeightsVersion

#: a thousand times what engines have; larger values are invalid.
_MAX_SLOTS = 65_536
#: an hour; upstreams need only seconds to warm up after their start.
_MAX_COLD_MS = 3_600_000
#: integers up to this are exact in every JSON library.
_MAX_COUNT = 2**53
_MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")
#: an id is sent in a header, so it must not contain spaces or line breaks.
_ID = re.compile(r"[\x21-\x7e]{1,128}")
_MOVE_OUTCOMES = {
    200: MoveOutcome.DONE,
    404: MoveOutcome.ENDED,
    409: MoveOutcome.IN_PROGRESS,
    503: MoveOutcome.NO_ROOM,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_upstream(upstream_id: str, value: bytes) -> Upstream:
    """Decode the entry of an upstream.

    :raises DecodingError: if it is invalid.
    """
    return decode_json("upstream", value, lambda raw: _upstream(upstream_id, raw))


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


def _upstream(upstream_id: str, raw: Mapping) -> Upstream:
    # An entry's sequence counts heartbeats; a report's counts orders.
    _count(raw, "sequence")
    if not _ID.fullmatch(upstream_id) or raw.get("id", upstream_id) != upstream_id:
        raise ValueError(f"id: {raw.get('id')!r} under key {upstream_id[:80]!r}")
    return Upstream(
        upstream_id=upstream_id,
        service=_text(raw, "service"),
        address=_address(raw),
        availability_zone=_text(raw, "zone"),
        slots=_count(raw, "slots", 1, _MAX_SLOTS),
        is_leaving=_is_leaving(raw),
        weights=_weights(raw.get("models", [])),
        cold_left_s=_number(raw, "coldLeftMs", _MAX_COLD_MS) / 1000.0,
        born_ms=_born_ms(raw),
        software_version=_text(raw, "version"),
        sequence=_count(raw, "sequence"),
    )


def _report(raw: Mapping) -> EngineReport:
    return EngineReport(
        weights=_weights(raw["models"]),
        is_busy=_checked_field(raw, "busy", lambda value: isinstance(value, bool)),
        orders_accepted=_count(raw, "sequence"),
        waiting=_count(raw, "waiting"),
        running=_count(raw, "running"),
        born_ms=_born_ms(raw),
    )


def _moved_run(raw: Mapping) -> MoveResult:
    # Despite its name, createRevision is the number of events generated so far.
    return MoveResult(
        MoveOutcome.DONE, _text(raw, "handle"), _count(raw, "createRevision")
    )


def _run_not_moved(raw: Mapping) -> MoveResult:
    # With a handle the run has stopped, and its source keeps its memory.
    handle = _text(raw, "handle") if "handle" in raw else ""
    return MoveResult(MoveOutcome.NO_ROOM, handle)


def _weights(models: object) -> tuple[WeightsVersion, ...]:
    if not isinstance(models, list):
        raise ValueError(f"models: {models!r}")
    return tuple(
        WeightsVersion(_text(item, "name"), _count(item, "version")) for item in models
    )


def _is_leaving(raw: Mapping) -> bool:
    state = _text(raw, "state")
    if state not in _LEAVING_BY_STATE:
        raise ValueError(f"state: {state!r}")
    return _LEAVING_BY_STATE[state]


def _born_ms(raw: Mapping) -> int:
    """Return when the server started; 0 if not stated."""
    return _count(raw, "born", 1) if "born" in raw else 0


def _address(raw: Mapping) -> str:
    address = _text(raw, "address")
    host, _, port = address.rpartition(":")
    if _is_host(host) and _PORT.fullmatch(port) and 0 < int(port) <= _MAX_PORT:
        return address
    raise ValueError(f"address: {address[:80]!r}")


def _is_host(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _text(raw: Mapping, name: str) -> str:
    return _checked_field(raw, name, lambda value: isinstance(value, str) and value)


def _count(raw: Mapping, name: str, minimum: int = 0, maximum: int = _MAX_COUNT) -> int:
    return _checked_field(
        raw,
        name,
        # A JSON true is an int in Python.
        lambda value: (
            isinstance(value, int)
            and not isinstance(value, bool)
            and minimum <= value <= maximum
        ),
    )


def _number(raw: Mapping, name: str, maximum: float) -> float:
    return _checked_field(
        raw,
        name,
        lambda value: (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and math.isfinite(value)
            and 0 <= value <= maximum
        ),
    )


def _checked_field(raw: Mapping, name: str, is_valid: Callable[[object], object]):
    """Return a field's value.

    :raises KeyError: if it is missing.
    :raises ValueError: if it is invalid.
    """
    value = raw[name]
    if not is_valid(value):
        raise ValueError(f"{name}: {str(value)[:80]!r}")
    return value
