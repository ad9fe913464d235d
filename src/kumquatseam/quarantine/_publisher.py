"""Making everyone know of requests that crash upstreams."""

import abc
from collections.abc import Callable

from kumquatseam.logs import part_logger
from kumquatseam.logservice import LogService, LogServiceError
from kumquatseam.loops import DueLoop
from kumquatseam.peers import DatagramLink, PeerBus
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import RECORD_CODEC, CrashNotice, CrashRecord

_log = part_logger("quarantine")

#: keyed topic with a record of each suspected request, under its fingerprint.
SUSPECTS_TOPIC = "keyed.kumquatseam.suspects"
#: peers that are told one by one at most.
MAX_TOLD_PEERS = 12
#: pause between attempts to write a record.
RETRY_PAUSE_S = 0.5


class NoticeChannel(abc.ABC):
    """Tells every instance something at once; it may get lost."""

    @abc.abstractmethod
    def on_notice(self, listener: Callable[[CrashNotice], None]) -> None:
        """Call ``listener`` with each notice of another instance."""

    @abc.abstractmethod
    def send(self, notice: CrashNotice) -> None:
        """Send ``notice`` to everyone who can be reached."""


class BusNoticeChannel(NoticeChannel):
    """Notices over the bus, in a large fleet by way of its leaders.

    :param bus: carries the notices.
    :param link: carries them to the leaders, whom everyone listens to.
    """

    def __init__(self, bus: PeerBus, link: DatagramLink) -> None:
        self._bus = bus
        self._link = link
        link.on_message(CrashNotice, lambda notice, _: self._hand_on(notice))
        self._on_notice: Callable[[CrashNotice], None] = lambda notice: None

    def on_notice(self, listener: Callable[[CrashNotice], None]) -> None:
        self._on_notice = listener
        self._bus.on_message(CrashNotice, listener)

    def send(self, notice: CrashNotice) -> None:
        self._bus.publish(notice)
        for leader in self._bus.view().leaders():
            if leader.name != self._bus.name:
                self._link.send(leader.address, notice)

    def _hand_on(self, notice: CrashNotice) -> None:
        """Pass a notice on to those that listen to this leader."""
        self._on_notice(notice)
        self._bus.publish(notice)


class DirectNoticeChannel(NoticeChannel):
    """Notices to every peer, as long as they are few.

    Those of a large fleet hear of it from the log service alone, a moment later.

    :param link: carries the notices.
    :param list_addresses: returns the peers' addresses.
    """

    def __init__(
        self, link: DatagramLink, list_addresses: Callable[[], list[str]]
    ) -> None:
        self._link = link
        self._list_addresses = list_addresses

    def on_notice(self, listener: Callable[[CrashNotice], None]) -> None:
        self._link.on_message(CrashNotice, lambda notice, _: listener(notice))

    def send(self, notice: CrashNotice) -> None:
        addresses = self._list_addresses()
        if len(addresses) <= MAX_TOLD_PEERS:
            for address in addresses:
                self._link.send(address, notice)


class RecordWriter:
    """Writes records of suspected requests to the log service.

    :param log: the log service; ``None`` to keep nothing.
    :param suspects: what is known of them.
    """

    def __init__(self, log: LogService | None, suspects: SuspectList) -> None:
        self._log_service = log
        self._suspects = suspects
        self._unwritten: set[str] = set()
        self.loop = DueLoop(self.step, RETRY_PAUSE_S)

    def write(self, fingerprint: str) -> None:
        """Write what is known of a request when the log service answers.

        A record of what is no longer suspected is dropped. Does not wait.
        """
        if self._log_service is not None:
            self._unwritten.add(fingerprint)
            self.loop.wake()

    def step(self) -> bool:
        """Write what is not written yet; return whether any of it is left."""
        for fingerprint in list(self._unwritten):
            crashes = self._suspects.crashes(fingerprint)
            value = RECORD_CODEC.encode(CrashRecord(crashes)) if crashes else b""
            try:
                self._log_service.append_keyed(SUSPECTS_TOPIC, fingerprint, value)
            except LogServiceError as error:
                # Whether or not it was done, doing it again does no harm.
                _log.bind(fingerprint=fingerprint, error=str(error)).warning(
                    "Record not written yet."
                )
                return True
            if self._suspects.crashes(fingerprint) == crashes:
                self._unwritten.discard(fingerprint)
        return bool(self._unwritten)
