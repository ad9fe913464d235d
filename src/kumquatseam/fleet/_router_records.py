"""The routers as instance records, for what they decide together."""

from collections.abc import Sequence

from kumquatseam.addresses import is_host_and_port
from kumquatseam.fleet._membership import DEAD, Membership
from kumquatseam.peers import InstanceRecord


class RouterRecords:
    """The live routers and their datagram addresses.

    A router receives datagrams on the UDP port with the number of the TCP port
    of its control address.

    :param name: this router's name.
    :param membership: its peers; ``None`` if it runs without peers.
    """

    def __init__(self, name: str, membership: Membership | None) -> None:
        self._membership = membership
        address = membership.address if membership is not None else ""
        self._own = InstanceRecord(name, _host_and_port(address))
        self._records: tuple[InstanceRecord, ...] = (self._own,)
        self._listed: tuple[InstanceRecord, ...] = (self._own,)

    @property
    def own_address(self) -> str:
        """Datagram address of this router, as ``host:port``."""
        return self._own.address

    def all(self) -> Sequence[InstanceRecord]:
        """Return every live router; the same object while nothing changes."""
        records = (self._own, *self._peers())
        if records != self._records:
            self._records = records
        return self._records

    def listed(self) -> Sequence[InstanceRecord]:
        """Return every listed router, also those that seem dead.

        Routers that cannot reach each other seem dead to each other; what they must
        not decide apart has owners among all of them. The same object while nothing
        changes.
        """
        records = (self._own, *self._peers(with_dead=True))
        if records != self._listed:
            self._listed = records
        return self._listed

    def peer_addresses(self) -> list[str]:
        """Return the datagram addresses of the other routers."""
        return [record.address for record in self._peers()]

    def _peers(self, with_dead: bool = False) -> list[InstanceRecord]:
        if self._membership is None:
            return []
        return [
            InstanceRecord(member.name, _host_and_port(member.address))
            for member in sorted(self._membership.members(), key=lambda m: m.name)
            if (with_dead or member.state != DEAD)
            and is_host_and_port(_host_and_port(member.address))
        ]


def _host_and_port(address: str) -> str:
    """Return an nng address without its URL scheme."""
    return address.rpartition("://")[2]
