"""Broadcast and storage of the suspected requests."""

import abc
from collections.abc import Callable

from kumquatseam.logs import part_logger
from kumquatseam.logservice import LogService, LogServiceError
from kumquatseam.loops import WakeableLoop
from kumquatseam.peers import DatagramLink, PeerBus
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import RECORD_CODEC, CrashNotice, CrashRecord

_log = part_logger("quarantine")

#: keyed topic with one record per suspected request; the key is its fingerprint.
SUSPECTS_TOPIC = "keyed.kumquatseam.suspects"
#: pause before a failed write is retried.
RETRY_PAUSE_S = 0.5


class NoticeChannel(abc.ABC):
    """Broadcasts notices to all instances, without guarantee of delivery."""

    @abc.abstractmethod
    def on_notice(self, listener: Callable[[CrashNotice], None]) -> None:
        """Call ``listener`` with each notice received from another instance."""

    @abc.abstractmethod
    def send(self, notice: CrashNotice) -> None:
        """Broadcast ``notice`` to all reachable instances."""


class BusNoticeChannel(NoticeChannel):
    """Broadcasts notices over the bus, in a large fleet through its leaders.

    :param bus: reaches the instances that follow this one.
    :param link: sends notices to the leaders, which all instances follow.
    """

    def __init__(self, bus: PeerBus, link: DatagramLink) -> None:
        self._bus = bus
        self._link = link
        link.on_message(CrashNotice, lambda notice, _: self._forward(notice))
        self._on_notice: Callable[[CrashNotice], None] = lambda notice: None

    def on_notice(self, listener: Callable[[CrashNotice], None]) -> None:
        self._on_notice = listener
        self._bus.on_message(CrashNotice, listener)

    def send(self, notice: CrashNotice) -> None:
        self._bus.publish(notice)
        for leader in self._bus.view().leaders():
            if leader.name != self._bus.name:
                self._link.send(leader.address, notice)

    def _forward(self, notice: CrashNotice) -> None:
        """Forward a notice to the instances that follow this leader."""
        self._on_notice(notice)
        self._bus.publish(notice)


class RecordWriter:
    """Writes records of suspected requests to the log service.

    :param log: the log service; ``None`` if nothing is to be written.
    :param suspects: the suspected requests.
    """

    def __init__(self, log: LogService | None, suspects: SuspectList) -> None:
        self._log_service = log
        self._suspects = suspects
        self._unwritten: set[str] = set()
        self.loop = WakeableLoop(self.step, RETRY_PAUSE_S)

    def write(self, fingerprint: str) -> None:
        """Schedule a write of a request's record, and return at once.

        The record is deleted if the request is no longer suspected. Failed writes are
        retried.
        """
        if self._log_service is not None:
            self._unwritten.add(fingerprint)
            self.loop.wake()

    def step(self) -> bool:
        """Write the scheduled records; return whether any are left."""
        for fingerprint in list(self._unwritten):
            crashes = self._suspects.crashes(fingerprint)
            value = RECORD_CODEC.encode(CrashRecord(crashes)) if crashes else b""
            try:
                self._log_service.append_keyed(SUSPECTS_TOPIC, fingerprint, value)
            except LogServiceError as error:
                # The record may have been written; the write is idempotent.
                _log.bind(fingerprint=fingerprint, error=str(error)).warning(
                    "Suspect record not written; the write will be retried."
                )
                return True
            if self._suspects.crashes(fingerprint) == crashes:
                self._unwritten.discard(fingerprint)
        return bool(self._unwritten)
