"""The platform's record framing: a 4-byte big-endian length before each record.

In keyed topics a record's content is a 1-byte key length, the key, and the
value; an empty value deletes the key. The body of a read response starts with the
topic's end and first offset, 8 bytes each.
"""

import struct
from collections.abc import Iterable

from kumquatseam.errors import CodecError

_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")


def frame_records(payloads: Iterable[bytes]) -> bytes:
    """Return ``payloads`` framed for an append."""
    return b"".join(_LENGTH.pack(len(p)) + p for p in payloads)


def unframe_records(data: bytes) -> list[bytes]:
    """Return the payloads in framed ``data``.

    :raises CodecError: if the last record is truncated.
    """
    payloads = []
    position = 0
    while position < len(data):
        start = position + _LENGTH.size
        if start > len(data):
            raise CodecError("log records", "truncated inside a record length")
        (length,) = _LENGTH.unpack_from(data, position)
        position = start + length
        if position > len(data):
            raise CodecError("log records", "truncated inside a record")
        payloads.append(data[start:position])
    return payloads


def unframe_slice(data: bytes) -> tuple[int, int, list[bytes]]:
    """Return ``(end_offset, first_offset, payloads)`` of a read response.

    :raises CodecError: if it is truncated.
    """
    if len(data) < _BOUNDS.size:
        raise CodecError("log read", "truncated inside the offsets")
    end_offset, first_offset = _BOUNDS.unpack_from(data)
    return end_offset, first_offset, unframe_records(data[_BOUNDS.size :])


def frame_keyed(key: str, value: bytes) -> bytes:
    """Return the content of a keyed record."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def unframe_keyed(content: bytes) -> tuple[str, bytes]:
    """Return ``(key, value)`` of a keyed record's content.

    :raises CodecError: if it is truncated, or the key is no text.
    """
    if not content or len(content) < 1 + content[0]:
        raise CodecError("keyed record", "truncated inside the key")
    split = 1 + content[0]
    try:
        return content[1:split].decode(), content[split:]
    except UnicodeDecodeError as error:
        raise CodecError("keyed record", str(error)) from error
