"""Which instance tracks an upstream."""

import math
from collections.abc import Callable, Sequence

import xxhash

from kumquatseam.peers import InstanceRecord

#: instances that may track an upstream, one after the other. Were half of the
#: fleet killed at once, one upstream in eight would have none of three alive.
CHOICES = 3
#: weight of an instance whose link's speed is not known, in Mbit/s.
DEFAULT_LINK_MBPS = 10.0
_HASH_RANGE = float(2**64)


class TrackerOrder:
    """The instances that track an upstream, the first choice first.

    Weighted rendezvous hashing: every instance that knows the same others
    computes the same order, an instance with a link ten times as fast tracks
    ten times as many upstreams, and one that comes or goes moves only its own.

    :param list_instances: returns every instance known; the same object as long
        as nothing changed.
    """

    def __init__(self, list_instances: Callable[[], Sequence[InstanceRecord]]) -> None:
        self._list_instances = list_instances
        self._instances: Sequence[InstanceRecord] = ()
        self._choices: dict[str, tuple[InstanceRecord, ...]] = {}

    def of(self, holder: str) -> tuple[InstanceRecord, ...]:
        """Return the instances that may track ``holder``, in order."""
        instances = self._list_instances()
        if instances is not self._instances:
            self._instances = instances
            self._choices.clear()
        found = self._choices.get(holder)
        if found is None:
            ordered = sorted(instances, key=lambda record: _distance(holder, record))
            found = self._choices[holder] = tuple(ordered[:CHOICES])
        return found


def _distance(holder: str, record: InstanceRecord) -> float:
    """Return how far an instance is from tracking ``holder``; the least does."""
    digest = xxhash.xxh3_64_intdigest(f"{holder}|{record.name}".encode())
    weight = record.link_mbps or DEFAULT_LINK_MBPS
    return -math.log((digest + 1) / (_HASH_RANGE + 1)) / weight
