"""Positions in a topic, which never go back although offsets may.

A log service that returns from an older copy gives offsets out a second time. Each
return begins an era, which its answers name. A position is an offset with its era:
one number, ordered by the era first, so that whatever compares positions (copies of
topics, fencing tokens) takes what was written after a return for newer. In the
first era, and with a service that names none, positions are plain offsets.
"""

from kumquatseam.logservice._errors import LogRecordsExpiredError

#: bits of a position that hold the offset. Five years of records at 7,000 a second
#: fit, and 8,000 eras into the whole numbers that JSON carries exactly.
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
    """Check that a position is of the era that the log service is in.

    :param first_offset: the oldest offset still kept.
    :raises LogRecordsExpiredError: if it is not: what lies there now is something
        else. The beginning of a topic is the same in all eras.
    """
    if era_of(at) != era and offset_of(at):
        raise LogRecordsExpiredError(topic, position(era, first_offset))
