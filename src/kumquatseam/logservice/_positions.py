"""Positions in a topic, which increase even if offsets are reused.

A log service that is restored from an older copy assigns the same offsets again.
Each restore starts a new era, which is stated in its responses. A position is an
offset combined with its era in one number, ordered by era first, so that comparing
positions (of topic copies and fencing tokens) treats records written after a restore
as newer. In the first era, and with a service that states none, positions equal
offsets.
"""

from kumquatseam.logservice._errors import LogRecordsExpiredError

#: bits of a position used for the offset: enough for five years at 7,000 records a
#: second, and leaves 8,000 eras within the integers that JSON represents exactly.
_OFFSET_BITS = 40


def position(era: int, offset: int) -> int:
    """Return the position of an offset."""
    return era << _OFFSET_BITS | offset


def era_of(at: int) -> int:
    """Return the era of a position."""
    return at >> _OFFSET_BITS


def offset_of(at: int) -> int:
    """Return the offset of a position."""
    return at & (1 << _OFFSET_BITS) - 1


def check_era(topic: str, at: int, era: int, first_offset: int) -> None:
    """Check that a position belongs to the log service's current era.

    :param first_offset: the oldest offset still retained.
    :raises LogRecordsExpiredError: if it belongs to another era, since the offset now
        holds a different record. The start of a topic is valid in all eras.
    """
    if era_of(at) != era and offset_of(at):
        raise LogRecordsExpiredError(topic, position(era, first_offset))
