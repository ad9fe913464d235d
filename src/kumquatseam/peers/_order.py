"""The fleet order, and which instances each instance subscribes to.

In a small fleet every instance subscribes to every other one (full mesh). In a
large one that would cost each instance a message for every request of the fleet,
so instances subscribe only to two leaders. There is no election: the leaders are
the first two instances in the fleet order that are not known to be away, and the
coordinators are the first few. Only coordinators publish what the whole fleet needs
(updates read from the log, the progress of a rollout); the leaders subscribe to
them and relay their messages.
"""

import enum
import functools
from collections.abc import Callable, Sequence

import attrs
import xxhash

from kumquatseam.peers._messages import InstanceRecord

#: largest fleet without leaders. Each instance then receives at most 300 messages
#: a second, which takes 3% of a core.
MAX_FULL_MESH = 12
#: leaders of a large fleet. A failed leader is detected only when its messages are
#: overdue; until then the second one relays alone.
LEADERS = 2
#: instances of a large fleet that may read the log for the others or hold a duty's
#: lease. Leaders subscribe only to these, so the messages that a leader receives
#: don't grow with the fleet. Eight are enough when a third of all instances cannot
#: reach the log.
COORDINATORS = 8


class PeerLiveness(enum.Enum):
    """What this instance knows about another one.

    ``UNKNOWN`` is an instance without a subscription, or with one that is too new
    to tell.
    """

    ALIVE = "alive"
    UNKNOWN = "unknown"
    AWAY = "away"


def order_key(record: InstanceRecord) -> tuple[float, int]:
    """Return the sort key of an instance in the fleet order.

    Fast links come first, since a leader relays the messages it receives to all
    other instances.
    """
    return -record.link_mbps, xxhash.xxh3_64_intdigest(record.name.encode())


@attrs.frozen
class FleetView:
    """The instances in fleet order, and the position of this one.

    :param records: all known instances in fleet order, including this one.
    :param own_name: name of this instance.
    :param liveness: returns the liveness of another instance by its name.
    """

    records: Sequence[InstanceRecord]
    own_name: str
    liveness: Callable[[str], PeerLiveness]

    @property
    def is_full_mesh(self) -> bool:
        """Whether every instance subscribes to every other one."""
        return len(self.records) <= MAX_FULL_MESH

    @functools.cached_property
    def position(self) -> int:
        """Position of this instance among those that are not known to be away."""
        return sum(self.liveness(n) is not PeerLiveness.AWAY for n in self.preceding())

    def preceding(self) -> frozenset[str]:
        """Return the names of the instances before this one in the fleet order."""
        return self._preceding

    @functools.cached_property
    def _preceding(self) -> frozenset[str]:
        names = [record.name for record in self.records]
        return frozenset(names[: names.index(self.own_name)])

    @property
    def is_leader(self) -> bool:
        """Whether this instance is a leader of a large fleet."""
        return not self.is_full_mesh and self.position < LEADERS

    @property
    def is_coordinator(self) -> bool:
        """Whether this instance may read the log for others or hold a duty's lease."""
        return self.is_full_mesh or self.position < COORDINATORS

    def present_names(self) -> list[str]:
        """Return the names of instances not known to be away, in fleet order."""
        return [r.name for r in self.records if self._is_present(r)]

    def leaders(self) -> list[InstanceRecord]:
        """Return the leaders of a large fleet, as far as this instance knows."""
        if self.is_full_mesh:
            return []
        return self._until_present(LEADERS, with_away=False)

    def subscription_targets(self) -> list[InstanceRecord]:
        """Return the instances to subscribe to.

        This includes instances that are away if they come before the last one
        needed, since they resume their role once they are back.
        """
        if self.is_full_mesh:
            found = list(self.records)
        else:
            count = COORDINATORS if self.is_leader else LEADERS
            found = self._until_present(count, with_away=True)
        return [r for r in found if r.name != self.own_name]

    def _until_present(self, count: int, with_away: bool) -> list[InstanceRecord]:
        """Return instances from the first until ``count`` of them are present."""
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
        return is_self or self.liveness(record.name) is not PeerLiveness.AWAY
