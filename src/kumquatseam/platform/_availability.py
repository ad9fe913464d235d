"""What a response of a replica says about further requests to it."""

from collections.abc import Callable, Sequence

from kumquatseam.upstreams import AvailabilityNotice, parse_rest

_LEAVING = "Server-Leaving"
_YES = "1"
_UNAVAILABLE = 503


def decode_availability(
    status: int, values_of: Callable[[str], Sequence[str]]
) -> AvailabilityNotice:
    """Decode the headers of any response of a replica.

    :param status: its status.
    :param values_of: returns all values of a header by its name.
    """
    rest_s = None
    if status == _UNAVAILABLE:
        rest_s = parse_rest(values_of("Retry-After"), values_of("Date"))
    return AvailabilityNotice(_YES in values_of(_LEAVING), rest_s)
