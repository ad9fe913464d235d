"""Decoding the entries of model servers.

Entries may come from any writer, so the type and range of each field are checked;
one invalid field makes the whole entry invalid.
"""

import ipaddress
import math
import re
from collections.abc import Callable, Mapping

from kumquatseam.addresses import is_host_and_port
from kumquatseam.platform._values import MAX_COUNT, decode_json, text
from kumquatseam.upstreams import Upstream, WeightsVersion

#: a thousand times what engines have; larger values are invalid.
_MAX_SLOTS = 65_536
#: an hour; upstreams need only seconds to warm up after their start.
_MAX_COLD_MS = 3_600_000
#: an id is sent in a header, so it must not contain spaces or line breaks.
_ID = re.compile(r"[\x21-\x7e]{1,128}")
_LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_upstream(upstream_id: str, value: bytes) -> Upstream:
    """Decode the entry of an upstream.

    :raises DecodingError: if it is invalid.
    """
    return decode_json("upstream", value, lambda raw: _upstream(upstream_id, raw))


def _upstream(upstream_id: str, raw: Mapping) -> Upstream:
    if not _ID.fullmatch(upstream_id) or raw.get("id", upstream_id) != upstream_id:
        raise ValueError(f"id: {raw.get('id')!r} under key {upstream_id[:80]!r}")
    return Upstream(
        upstream_id=upstream_id,
        service=text_field(raw, "service"),
        address=_address(raw),
        availability_zone=text_field(raw, "zone"),
        slots=count_field(raw, "slots", 1, _MAX_SLOTS),
        is_leaving=_is_leaving(raw),
        weights=weights_of(raw.get("models", [])),
        cold_left_s=_number(raw, "coldLeftMs", _MAX_COLD_MS) / 1000.0,
        born_ms=born_ms_of(raw),
        software_version=text_field(raw, "version"),
        # It counts heartbeats here; in a report it counts orders.
        sequence=count_field(raw, "sequence"),
    )


def weights_of(models: object) -> tuple[WeightsVersion, ...]:
    if not isinstance(models, list):
        raise ValueError(f"models: {models!r}")
    return tuple(
        WeightsVersion(text_field(item, "name"), count_field(item, "version"))
        for item in models
    )


def _is_leaving(raw: Mapping) -> bool:
    state = text_field(raw, "state")
    if state not in _LEAVING_BY_STATE:
        raise ValueError(f"state: {state!r}")
    return _LEAVING_BY_STATE[state]


def born_ms_of(raw: Mapping) -> int:
    """Return when the server started; 0 if not stated."""
    return count_field(raw, "born", 1) if "born" in raw else 0


def _address(raw: Mapping) -> str:
    address = text_field(raw, "address")
    if is_host_and_port(address) and _is_host(address.rpartition(":")[0]):
        return address
    raise ValueError(f"address: {address[:80]!r}")


def _is_host(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def text_field(raw: Mapping, name: str) -> str:
    return checked_field(
        raw, name, lambda value: isinstance(value, str) and text(value)
    )


def count_field(
    raw: Mapping, name: str, minimum: int = 0, maximum: int = MAX_COUNT
) -> int:
    return checked_field(
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
    return checked_field(
        raw,
        name,
        lambda value: (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and math.isfinite(value)
            and 0 <= value <= maximum
        ),
    )


def checked_field(raw: Mapping, name: str, is_valid: Callable[[object], object]):
    """Return a field's value.

    :raises KeyError: if it is missing.
    :raises ValueError: if it is invalid.
    """
    value = raw[name]
    if not is_valid(value):
        raise ValueError(f"{name}: {str(value)[:80]!r}")
    return value
