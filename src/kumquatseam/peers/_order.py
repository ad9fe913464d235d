"""The order of the instances, and whom each listens to.

In a small fleet everyone listens to everyone. In a large one that would cost
each instance a message for every request that any of them takes, so all listen
to two leaders alone, and the leaders to all. Nobody appoints leaders: they are
the first two of the order that are heard from.
"""

import enum
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


class Hearing(enum.Enum):
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
    hearing: Callable[[str], Hearing]

    @property
    def is_direct(self) -> bool:
        """Whether everyone listens to everyone."""
        return len(self.records) <= MAX_DIRECT

    @property
    def position(self) -> int:
        """This instance's place among those that are not known to be away."""
        return sum(self.hearing(n) is not Hearing.AWAY for n in self.preceding())

    def preceding(self) -> list[str]:
        """Return the names of those that stand before this instance."""
        names = [record.name for record in self.records]
        return names[: names.index(self.own_name)]

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads a large fleet."""
        return not self.is_direct and self.position < LEADERS

    def present_names(self) -> list[str]:
        """Return the instances that are not known to be away, in order."""
        return [r.name for r in self.records if self._is_present(r)]

    def leaders(self) -> list[InstanceRecord]:
        """Return those that lead a large fleet, as far as this instance knows."""
        if self.is_direct:
            return []
        present = [r for r in self.records if self._is_present(r)]
        return present[:LEADERS]

    def followed(self) -> list[InstanceRecord]:
        """Return the instances to listen to.

        Those before the leaders count as away; they are listened to all the
        same, since they lead once they are back.
        """
        others = [r for r in self.records if r.name != self.own_name]
        if self.is_direct or self.is_leader:
            return others
        last = self.leaders()[-1]
        return [r for r in others if order_key(r) <= order_key(last)]

    def _is_present(self, record: InstanceRecord) -> bool:
        is_self = record.name == self.own_name
        return is_self or self.hearing(record.name) is not Hearing.AWAY
