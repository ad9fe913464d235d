"""The body of a read response, which only the service writes."""

import struct
from collections.abc import Iterable

from kumquatseam.logservice import frame_records

_BOUNDS = struct.Struct(">QQ")


def frame_slice(end_offset: int, first_offset: int, payloads: Iterable[bytes]) -> bytes:
    """Return the body of a read response."""
    return _BOUNDS.pack(end_offset, first_offset) + frame_records(payloads)
