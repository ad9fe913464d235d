"""Finding the other instances through the log service."""

import gevent

from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    KeyedListener,
    KeyedWatch,
    LogService,
    LogServiceError,
)
from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import RECORD_CODEC, InstanceRecord

_log = part_logger("peers")

INSTANCES_TOPIC = "keyed.kumquatseam.instances"
#: how long one read waits for a new instance; joining needs no haste.
WAIT_S = 5.0
#: pause between attempts to register.
RETRY_PAUSE_S = 0.5


class InstanceRegistry(KeyedListener):
    """Registers this instance and follows the others.

    :param log: the log service.
    :param bus: told whom to listen to.
    """

    def __init__(self, log: LogService, bus: PeerBus) -> None:
        self._log_service = log
        self._bus = bus
        self._watch = KeyedWatch(log, INSTANCES_TOPIC, self, WAIT_S)
        self._registering: gevent.Greenlet | None = None

    def start(self) -> None:
        """Register, and follow who else does."""
        self._registering = gevent.spawn(self._register)
        self._watch.start()

    def close(self) -> None:
        """Stop following; the record stays for a restart at this address."""
        self._watch.close()
        self._registering.kill()

    def take_all(self, values: dict[str, bytes]) -> None:
        for key, value in values.items():
            self.take(key, value)

    def take(self, key: str, value: bytes) -> None:
        if not value:
            self._bus.unfollow(key)
            return
        try:
            record = RECORD_CODEC.decode(value)
        except CodecError as error:
            _log.bind(instance=key, error=str(error)).warning("Record ignored.")
            return
        self._bus.follow(record.name, record.address)

    def _register(self) -> None:
        record = InstanceRecord(self._bus.name, self._bus.address)
        value = RECORD_CODEC.encode(record)
        while True:
            try:
                self._log_service.append_keyed(INSTANCES_TOPIC, record.name, value)
                _log.bind(address=record.address).info("Registered.")
                return
            except LogServiceError as error:
                # Registering twice does no harm, so any failure is tried again.
                _log.bind(error=str(error)).warning("Not registered yet.")
                gevent.sleep(RETRY_PAUSE_S)
