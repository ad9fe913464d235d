"""What a response of a replica says about further requests to it."""

from collections.abc import Callable, Sequence

from kumquatseam.upstreams import AvailabilityNotice

_LEAVING = "Server-Leaving"
_YES = "1"


def decode_availability(
    values_of: Callable[[str], Sequence[str]],
) -> AvailabilityNotice:
    """Decode the headers of any response of a replica.

    :param values_of: returns all values of a header by its name.
    """
    return AvailabilityNotice(is_leaving=_YES in values_of(_LEAVING))
