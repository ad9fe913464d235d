"""Decoding JSON values, with one error class for every fault."""

import json
import math
from collections.abc import Callable, Mapping

import attrs

from kumquatseam.addresses import is_host_and_port
from kumquatseam.errors import KumquatseamError

#: integers up to this are exact in every JSON library.
MAX_COUNT = 2**53
#: maximum characters of a reason, which may quote the value.
_MAX_REASON = 400


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
    """Return a value that is text with an encoding: no half of a surrogate pair."""
    if not isinstance(value, str):
        raise invalid(value)
    value.encode()
    return value


def integer(value: object) -> int:
    """Return a number without its fraction, if it is exact in JSON."""
    number = int(value)
    if abs(number) > MAX_COUNT:
        raise invalid(value)
    return number


def finite(value: object) -> float:
    """Return a finite number."""
    number = float(value)
    if not math.isfinite(number):
        raise invalid(value)
    return number


def host_and_port(value: object) -> str:
    """Return a ``host:port``."""
    if not is_host_and_port(text(value)):
        raise invalid(value)
    return value


def invalid(value: object) -> ValueError:
    """Return the error for an invalid value."""
    return ValueError(f"invalid: {str(value)[:80]!r}")
