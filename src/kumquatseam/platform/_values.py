"""Decoding JSON values, with one error class for every fault."""

import json
import math
import re
from collections.abc import Callable, Mapping

import attrs

from kumquatseam.errors import KumquatseamError

#: integers up to this are exact in every JSON library.
MAX_COUNT = 2**53
#: maximum characters of a reason, which may quote the value.
_MAX_REASON = 400
_ADDRESS = re.compile(r"([\x21-\x7e]{1,253}):([0-9]{1,5})")
_MAX_PORT = 65_535


@attrs.define(frozen=True, eq=False)
class DecodingError(KumquatseamError):
    """A value from the platform is invalid.

    :param what: the kind of value.
    :param reason: the invalid field and what is wrong with it.
    """

    what: str
    reason: str

    def __str__(self) -> str:
        return f"platform: cannot decode {self.what}: {self.reason}"


def decode_json(what: str, value: bytes, build: Callable[[Mapping], object]):
    """Parse a JSON object and return ``build`` of it.

    :param what: the kind of value, for the error.
    :raises DecodingError: if it is not JSON, or ``build`` rejects it.
    """
    try:
        return build(json.loads(value))
    except KeyError as error:
        raise DecodingError(what, f"field {error} is missing") from error
    except (
        ValueError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise DecodingError(what, repr(error)[:_MAX_REASON]) from error


def text(value: object) -> str:
    """Return a JSON value that is text.

    :raises ValueError: if it is not, or has no encoding (half a surrogate pair).
    """
    if not isinstance(value, str):
        raise ValueError(f"not text: {_quoted(value)}")
    value.encode()
    return value


def integer(value: object) -> int:
    """Return a JSON value as an integer; a fraction is cut off.

    :raises ValueError: if it is not a number, or too large.
    """
    number = int(value)
    if abs(number) > MAX_COUNT:
        raise ValueError(f"too large: {_quoted(value)}")
    return number


def finite(value: object) -> float:
    """Return a JSON value as a number.

    :raises ValueError: if it is not a finite one.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"not finite: {_quoted(value)}")
    return number


def host_and_port(value: object) -> str:
    """Return a JSON value that is a ``host:port``.

    :raises ValueError: if it is not.
    """
    match = _ADDRESS.fullmatch(text(value))
    if not match or not 0 < int(match[2]) <= _MAX_PORT:
        raise ValueError(f"not an address: {_quoted(value)}")
    return value


def _quoted(value: object) -> str:
    return repr(str(value)[:80])
