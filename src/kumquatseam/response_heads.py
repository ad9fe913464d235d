"""What the head of an HTTP response may say; all that read responses ask this."""

import re

from kumquatseam.errors import KumquatseamError

#: size of a head, with the interim ones before it; and how many fields it has, with
#: its trailers. A process may read hundreds at a time, and a field takes hundreds of
#: bytes, however short it is.
MAX_HEAD_BYTES = 65_536
MAX_FIELDS = 100
#: interim heads before a response.
MAX_INTERIM_HEADS = 32
_VERSIONS = ("1.0", "1.1")
#: a line of a head, which may end in a line feed alone.
_FIRST_LINE = re.compile(rb"HTTP/([0-9]\.[0-9]) ([0-9]{3})(?: ([^\r\n]*))?\r?\n")
_REASON = re.compile(rb"[\t -~\x80-\xff]*")
_FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\r?\n")
_INTERIM = range(100, 200)
#: an interim status, behind which there is no HTTP on the connection.
_SWITCHING_PROTOCOLS = 101
_FINAL = range(200, 600)


class InvalidHeadError(KumquatseamError):
    """What was received is no head of an HTTP response; the argument says why."""

    def __str__(self) -> str:
        return f"no HTTP response: {self.args[0]}"


def is_interim(status: int) -> bool:
    """Return whether a valid status is that of an interim head."""
    return status in _INTERIM


def check_final_status(status: int) -> None:
    """Check the status of a response.

    :raises InvalidHeadError: if no response can have it.
    """
    if status not in _FINAL:
        raise InvalidHeadError(f"status {status:03}")


def check_status_line(version: str, status: int) -> None:
    """Check the first line of a head, which may be an interim one.

    :param version: the version of HTTP in it, e.g. ``"1.1"``.
    :raises InvalidHeadError: if no head may begin so.
    """
    if version not in _VERSIONS:
        raise InvalidHeadError(f"version {version}")
    if not is_interim(status) or status == _SWITCHING_PROTOCOLS:
        check_final_status(status)


def check_reason(reason: bytes) -> None:
    """Check the reason in the first line of a head, or a part of it.

    :raises InvalidHeadError: if it holds a control byte.
    """
    if not _REASON.fullmatch(reason):
        raise InvalidHeadError(f"reason {reason[:80]!r}")


def parse_status_line(line: bytes) -> tuple[str, int, bytes]:
    """Return the version, status and reason in the first line of a head.

    :param line: the line with its end.
    :raises InvalidHeadError: if no head may begin so.
    """
    match = _FIRST_LINE.fullmatch(line)
    if match is None:
        raise InvalidHeadError(f"begins with {line[:80]!r}")
    version, status, reason = match[1].decode(), int(match[2]), match[3] or b""
    check_status_line(version, status)
    check_reason(reason)
    return version, status, reason


def check_field_line(line: bytes) -> None:
    """Check a further line of a head, but for the empty one that ends it.

    :param line: the line with its end.
    :raises InvalidHeadError: if it is no field.
    """
    if not _FIELD_LINE.fullmatch(line):
        raise InvalidHeadError(f"line {line[:80]!r} is no field")
