"""The time of rest that a response asks for."""

import math
from collections.abc import Sequence


def parse_rest(values: Sequence[str], dates: Sequence[str] = ()) -> float | None:
    """Return the seconds of rest in the ``Retry-After`` values of a response.

    A date counts from the response's own ``Date``: clocks of machines differ.

    :param values: all values of the header.
    :param dates: all values of the response's ``Date``.
    :returns: the longest time; ``None`` if none is positive and readable.
    """
    times_s = [_seconds(item, dates) for value in values for item in _items(value)]
    return max((time_s for time_s in times_s if 0 < time_s < math.inf), default=None)


def _items(value: str) -> list[str]:
    """Split what a library may have joined of several headers; dates have a comma."""
    return [value] if ":" in value else value.split(",")


def _seconds(text: str, dates: Sequence[str]) -> float:
    """Return a value in seconds; not a number if it is unreadable."""
    try:
        return float(text)
    except ValueError:
        return _until_date_s(text, dates)


def _until_date_s(text: str, dates: Sequence[str]) -> float:
    # Rarely needed.
    from email.utils import parsedate_to_datetime

    try:
        sent = parsedate_to_datetime(dates[0])
        return (parsedate_to_datetime(text) - sent).total_seconds()
    except (ValueError, TypeError, IndexError, OverflowError):
        return math.nan
