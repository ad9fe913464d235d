"""Decoding JSON values, with one error class for every fault."""

import json
from collections.abc import Callable, Mapping

import attrs

from kumquatseam.errors import KumquatseamError


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
        raise DecodingError(what, repr(error)) from error
