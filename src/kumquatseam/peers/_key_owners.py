"""Finding and calling the instances that own a key."""

from collections.abc import Callable, Sequence

from kumquatseam.peers._calls import DatagramCalls
from kumquatseam.peers._datagrams import DatagramLink
from kumquatseam.peers._messages import InstanceRecord
from kumquatseam.peers._rendezvous import RendezvousOrder


class KeyOwners:
    """Sends messages to the owners of keys, of which this instance may be one.

    Use it for state that a few instances keep for all others. A message to this
    instance itself is handled without a datagram.

    :param name: this instance.
    :param order: selects the owners of a key.
    :param link: carries messages between two instances.
    :param calls: calls other instances over the link.
    """

    def __init__(
        self,
        name: str,
        order: RendezvousOrder,
        link: DatagramLink,
        calls: DatagramCalls,
    ) -> None:
        self.name = name
        self._order = order
        self._link = link
        self.calls = calls
        self._handlers: dict[type, Callable] = {}

    def on_request(self, kind: type, handler: Callable) -> None:
        """Answer requests of class ``kind`` with what ``handler`` returns."""
        self._handlers[kind] = handler
        self._link.on_message(
            kind, lambda request, sender: self._link.send(sender, handler(request))
        )

    def on_notice(self, kind: type, handler: Callable) -> None:
        """Call ``handler`` with each message of class ``kind``."""
        self._handlers[kind] = handler
        self._link.on_message(kind, lambda notice, _: handler(notice))

    def of(self, key: str) -> Sequence[InstanceRecord]:
        """Return the owners of ``key``, the preferred one first."""
        return self._order.owners_of(key)

    def call(self, record: InstanceRecord, request) -> object | None:
        """Return an owner's reply; ``None`` if it is skipped or does not reply."""
        if record.name == self.name:
            return self._handlers[type(request)](request)
        return self.calls.call(record, request)

    def call_all(
        self, key: str, request, is_conclusive: Callable[[object], bool]
    ) -> list:
        """Return the replies of the owners of ``key``, which are asked at once.

        :param is_conclusive: whether no further reply is needed after this one.
        """
        own, others = [], []
        for record in self.of(key):
            if record.name == self.name:
                own.append(self._handlers[type(request)](request))
            else:
                others.append(record)
        if not others or any(map(is_conclusive, own)):
            return own
        return own + self.calls.call_all(others, request, is_conclusive)

    def notify(self, record: InstanceRecord, notice: object) -> None:
        """Send a message to one instance; it may get lost."""
        if record.name == self.name:
            self._handlers[type(notice)](notice)
        else:
            self._link.send(record.address, notice)

    def notify_all(self, key: str, notice: object) -> None:
        """Send a message to all owners of ``key``; each may get lost."""
        for record in self.of(key):
            self.notify(record, notice)
