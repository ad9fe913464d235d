"""Broadcast and storage of the suspected requests."""

import abc
import collections
from collections.abc import Callable

from kumquatseam.logs import part_logger
from kumquatseam.logservice import LogService, LogServiceError
from kumquatseam.loops import WakeableLoop
from kumquatseam.peers import DatagramLink, PeerBus
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import (
    BUS_KINDS,
    RECORD_CODEC,
    CrashNotice,
    CrashRecord,
    EndedNotice,
)

_log = part_logger("quarantine")

#: keyed topic with one record per suspected request; the key is its fingerprint.
SUSPECTS_TOPIC = "keyed.kumquatseam.suspects"
#: pause before a failed write is retried.
RETRY_PAUSE_S = 0.5


#: notices of ended upstreams that are remembered, and forwarded once.
MAX_ENDED = 64

Notice = CrashNotice | EndedNotice


class NoticeChannel(abc.ABC):
    """Broadcasts notices to all instances, without guarantee of delivery."""

    @abc.abstractmethod
    def on_notice(self, kind: type, listener: Callable[[Notice], None]) -> None:
        """Call ``listener`` with each notice of a class from another instance."""

    @abc.abstractmethod
    def send(self, notice: Notice) -> None:
        """Broadcast ``notice`` to all reachable instances."""


class BusNoticeChannel(NoticeChannel):
    """Broadcasts notices over the bus, in a large fleet through its leaders.

    :param bus: reaches the instances that follow this one.
    :param link: sends notices to the leaders, which all instances follow.
    """

    def __init__(self, bus: PeerBus, link: DatagramLink) -> None:
        self._bus = bus
        self._link = link
        self._listeners: dict[type, Callable[[Notice], None]] = {}
        #: upstreams whose end was told here lately, and those whose end was forwarded:
        #: several instances notice it.
        self._ended: collections.deque[str] = collections.deque(maxlen=MAX_ENDED)
        self._forwarded: collections.deque[str] = collections.deque(maxlen=MAX_ENDED)
        for kind in BUS_KINDS.values():
            link.on_message(kind, lambda notice, _: self._forward(notice))

    def on_notice(self, kind: type, listener: Callable[[Notice], None]) -> None:
        self._listeners[kind] = listener
        self._bus.on_message(kind, self._receive)

    def send(self, notice: Notice) -> None:
        if _is_repeated(notice, self._ended):
            return
        self._bus.publish(notice)
        for leader in self._bus.view().leaders():
            if leader.name != self._bus.name:
                self._link.send(leader.address, notice)

    def _forward(self, notice: Notice) -> None:
        """Forward a notice to the instances that follow this leader."""
        self._receive(notice)
        if not _is_repeated(notice, self._forwarded):
            self._bus.publish(notice)

    def _receive(self, notice: Notice) -> None:
        if not _is_repeated(notice, self._ended):
            self._listeners[type(notice)](notice)


def _is_repeated(notice: Notice, ended: collections.deque[str]) -> bool:
    """Return whether the end of an upstream was told before; record it if not."""
    if not isinstance(notice, EndedNotice):
        return False
    if notice.incarnation_id in ended:
        return True
    ended.append(notice.incarnation_id)
    return False


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
            evidence = self._suspects.evidence(fingerprint)
            record = CrashRecord(crashes, evidence.survivals, evidence.samples)
            value = RECORD_CODEC.encode(record) if crashes else b""
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
