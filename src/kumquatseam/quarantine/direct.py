"""Broadcast of notices to each peer, for programs without a peer bus."""

from collections.abc import Callable

from kumquatseam.peers import DatagramLink
from kumquatseam.quarantine._publisher import Notice, NoticeChannel

#: maximum number of peers to which a notice is sent one by one.
MAX_NOTIFIED_PEERS = 12


class DirectNoticeChannel(NoticeChannel):
    """Sends notices to each peer directly, while there are few peers.

    In a larger fleet nothing is sent; the peers read the record from the log service
    a moment later.

    :param link: sends the notices.
    :param list_addresses: returns the addresses of the peers.
    """

    def __init__(
        self, link: DatagramLink, list_addresses: Callable[[], list[str]]
    ) -> None:
        self._link = link
        self._list_addresses = list_addresses

    def on_notice(self, kind: type, listener: Callable[[Notice], None]) -> None:
        self._link.on_message(kind, lambda notice, _: listener(notice))

    def send(self, notice: Notice) -> None:
        addresses = self._list_addresses()
        if len(addresses) <= MAX_NOTIFIED_PEERS:
            for address in addresses:
                self._link.send(address, notice)
