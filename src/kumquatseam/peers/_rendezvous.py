"""Selection of the instances that own a key."""

import math
from collections.abc import Callable, Sequence

import xxhash

from kumquatseam.peers._messages import InstanceRecord

#: owners of a key, tried in order. If half of the fleet fails at once, one key in
#: eight has none of its three owners alive.
MAX_OWNERS = 3
#: weight of an instance whose link speed is unknown.
DEFAULT_LINK_MBPS = 10.0
#: keys whose owners are cached; the cache is cleared when it is full.
MAX_CACHED_KEYS = 4096
_HASH_RANGE = float(2**64)


class RendezvousOrder:
    """Weighted rendezvous hashing of keys to instances.

    Instances that know the same fleet compute the same owners. An instance with a
    link ten times as fast owns ten times as many keys, and an instance that joins
    or leaves moves only its own keys.

    :param list_instances: returns all known instances; the same object as long as
        nothing changed.
    :param spreads_zones: whether the owners of a key are in different availability
        zones, as far as there are enough.
    """

    def __init__(
        self,
        list_instances: Callable[[], Sequence[InstanceRecord]],
        spreads_zones: bool = False,
    ) -> None:
        self._list_instances = list_instances
        self._spreads_zones = spreads_zones
        self._instances: Sequence[InstanceRecord] = ()
        self._owners: dict[str, tuple[InstanceRecord, ...]] = {}

    def owners_of(self, key: str) -> tuple[InstanceRecord, ...]:
        """Return the owners of ``key``, the preferred one first."""
        instances = self._list_instances()
        if instances is not self._instances or len(self._owners) >= MAX_CACHED_KEYS:
            self._instances = instances
            self._owners.clear()
        owners = self._owners.get(key)
        if owners is None:
            ordered = sorted(instances, key=lambda record: _distance(key, record))
            if self._spreads_zones:
                ordered = _first_of_zones(ordered)
            owners = self._owners[key] = tuple(ordered[:MAX_OWNERS])
        return owners


def _first_of_zones(ordered: Sequence[InstanceRecord]) -> list[InstanceRecord]:
    """Return the instances with the first one of each zone before all others."""
    zones: set[str] = set()
    first, others = [], []
    for record in ordered:
        (others if record.zone in zones else first).append(record)
        zones.add(record.zone)
        if len(first) >= MAX_OWNERS:
            break
    return first + others


def _distance(key: str, record: InstanceRecord) -> float:
    """Return the distance of an instance from ``key``; the nearest owns it."""
    digest = xxhash.xxh3_64_intdigest(f"{key}|{record.name}".encode())
    weight = record.link_mbps or DEFAULT_LINK_MBPS
    return -math.log((digest + 1) / (_HASH_RANGE + 1)) / weight
