"""Decoding JSON values with one typed error."""

import json
from collections.abc import Callable, Mapping

import attrs

from kumquatseam.errors import KumquatseamError


@attrs.define(frozen=True, eq=False)
class DecodingError(KumquatseamError):
    """A value from the platform cannot be understood.

    :param what: the kind of value.
    :param reason: what is wrong, with the field.
    """

    what: str
    reason: str

    def __str__(self) -> str:
        return f"platform: cannot decode {self.what}: {self.reason}"


def decode_json(what: str, value: bytes, build: Callable[[Mapping], object]):
    """Return what ``build`` makes of a JSON object.

    :param what: the kind of value, for the error.
    :raises DecodingError: if it is none, or lacks what ``build`` needs.
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
