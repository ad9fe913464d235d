"""The order of the instances, and whom each listens to.

In a small fleet everyone listens to everyone. In a large one that would cost
each instance a message for every request that any of them takes, so all listen
to two leaders alone. Nobody appoints leaders: they are the first two of the order
that are heard from. What few instances tell all (what the log brought, how far a
rollout is) comes from one of the first in the order, its council, to which the
leaders listen; they hand it on.
"""

import enum
import functools
from collections.abc import Callable, Sequence

import attrs
import xxhash

from kumquatseam.peers._messages import InstanceRecord

#: fleets up to this size need no leaders: each instance then hears 300 messages
#: a second at most, at 3% of a core.
MAX_DIRECT = 12
#: leaders of a large fleet. One that fails is noticed only after its messages
#: are overdue; the second one goes on meanwhile.
LEADERS = 2
#: instances of a large fleet that may read the log for the others or hold a
#: duty. Leaders listen to these alone, so what a leader hears does not grow with
#: the fleet; eight are enough for a third of all to be cut off from the log.
COUNCIL = 8


class PeerLiveness(enum.Enum):
    """What is known of another instance."""

    ALIVE = "alive"
    UNKNOWN = "unknown"
    AWAY = "away"


def order_key(record: InstanceRecord) -> tuple[float, int]:
    """Return the place of an instance in the order; the smallest comes first.

    Fast links come first, since a leader sends what it hears to all others.
    """
    return -record.link_mbps, xxhash.xxh3_64_intdigest(record.name.encode())


@attrs.frozen
class FleetView:
    """The instances in order, and this one's place.

    :param records: every instance known, this one included, in order.
    :param own_name: this one.
    :param hearing: what is known of each other one.
    """

    records: Sequence[InstanceRecord]
    own_name: str
    hearing: Callable[[str], PeerLiveness]

    @property
    def is_full_mesh(self) -> bool:
        """Whether everyone listens to everyone."""
        return len(self.records) <= MAX_DIRECT

    @functools.cached_property
    def position(self) -> int:
        """This instance's place among those that are not known to be away."""
        return sum(self.hearing(n) is not PeerLiveness.AWAY for n in self.preceding())

    def preceding(self) -> frozenset[str]:
        """Return the names of those that stand before this instance."""
        return self._preceding

    @functools.cached_property
    def _preceding(self) -> frozenset[str]:
        names = [record.name for record in self.records]
        return frozenset(names[: names.index(self.own_name)])

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads a large fleet."""
        return not self.is_full_mesh and self.position < LEADERS

    @property
    def is_coordinator(self) -> bool:
        """Whether this instance may read the log for others or hold a duty."""
        return self.is_full_mesh or self.position < COUNCIL

    def present_names(self) -> list[str]:
        """Return the instances that are not known to be away, in order."""
        return [r.name for r in self.records if self._is_present(r)]

    def leaders(self) -> list[InstanceRecord]:
        """Return those that lead a large fleet, as far as this instance knows."""
        if self.is_full_mesh:
            return []
        return self._until_present(LEADERS, with_away=False)

    def followed(self) -> list[InstanceRecord]:
        """Return the instances to listen to.

        Those that are away are listened to all the same if they stand before
        the last one needed, since they take their place again once they are back.
        """
        if self.is_full_mesh:
            found = list(self.records)
        else:
            count = COUNCIL if self.is_leader else LEADERS
            found = self._until_present(count, with_away=True)
        return [r for r in found if r.name != self.own_name]

    def _until_present(self, count: int, with_away: bool) -> list[InstanceRecord]:
        """Return the first of the order until ``count`` of them are present."""
        found = []
        for record in self.records:
            if not count:
                break
            is_present = self._is_present(record)
            count -= is_present
            if is_present or with_away:
                found.append(record)
        return found

    def _is_present(self, record: InstanceRecord) -> bool:
        is_self = record.name == self.own_name
        return is_self or self.hearing(record.name) is not PeerLiveness.AWAY
