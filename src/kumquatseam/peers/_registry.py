"""Finding the other instances through the log service."""

import gevent

from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    KeyedListener,
    Learning,
    LogService,
    LogServiceError,
)
from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import RECORD_CODEC, InstanceRecord

_log = part_logger("peers")

#: topic with every instance's record under its name.
INSTANCES_TOPIC = "keyed.kumquatseam.instances"
#: pause between attempts to register, doubling up to the second figure: a log
#: that is out of reach counts the calls it turns away.
RETRY_PAUSE_S = 0.5
MAX_RETRY_PAUSE_S = 4.0


class InstanceRegistry(KeyedListener):
    """Registers this instance, and listens to those whose records it is given.

    :param log: the log service.
    :param bus: told whom to listen to.
    :param record: this instance's record.
    """

    def __init__(self, log: LogService, bus: PeerBus, record: InstanceRecord) -> None:
        self._log_service = log
        self._bus = bus
        self._record = record
        self._registering: gevent.Greenlet | None = None

    def start(self) -> None:
        """Register."""
        self._registering = gevent.spawn(self._register)

    def close(self) -> None:
        """Stop registering; the record stays for a restart at this address."""
        self._registering.kill()

    def take(self, key: str, value: bytes, learning: Learning) -> bool:
        if not value:
            return self._take_dropped(key, learning)
        try:
            record = RECORD_CODEC.decode(value)
        except CodecError as error:
            _log.bind(instance=key, error=str(error)).warning("Record ignored.")
            return False
        self._bus.add(record)
        return True

    def _take_dropped(self, key: str, learning: Learning) -> bool:
        if key == self._record.name:
            self._register_again()
            return False
        if learning.is_restored:
            # Its instance lives as before, and writes it again.
            return False
        self._bus.remove(key)
        return True

    def _register_again(self) -> None:
        """Write the record again: without it new instances do not find this one."""
        if self._registering is not None and self._registering.ready():
            _log.bind(instance=self._record.name).warning("Record lost.")
            self.start()

    def _register(self) -> None:
        value = RECORD_CODEC.encode(self._record)
        pause_s = RETRY_PAUSE_S
        while True:
            try:
                self._log_service.append_keyed(
                    INSTANCES_TOPIC, self._record.name, value
                )
                _log.bind(address=self._record.address).info("Registered.")
                return
            except LogServiceError as error:
                # Registering twice does no harm, so any failure is tried again.
                _log.bind(error=str(error)).warning("Not registered yet.")
                gevent.sleep(pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
