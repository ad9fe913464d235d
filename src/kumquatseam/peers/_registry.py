"""Discovery of the other instances through the log service."""

import gevent

from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    ChangeContext,
    KeyedListener,
    LogService,
    LogServiceError,
)
from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._messages import RECORD_CODEC, InstanceRecord

_log = part_logger("peers")

#: topic with the record of each instance under the instance's name.
INSTANCES_TOPIC = "keyed.kumquatseam.instances"
#: pause between attempts to register, doubled up to the maximum, since the
#: log service counts the calls that it rejects during an outage.
RETRY_PAUSE_S = 0.5
MAX_RETRY_PAUSE_S = 4.0


class InstanceRegistry(KeyedListener):
    """Registers this instance, and adds the registered ones to the bus.

    :param log: the log service.
    :param bus: gets the records of the other instances.
    :param record: this instance's record.
    """

    def __init__(self, log: LogService, bus: PeerBus, record: InstanceRecord) -> None:
        self._log_service = log
        self._bus = bus
        self._record = record
        self._registering: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start registering this instance."""
        self._registering = gevent.spawn(self._register)

    def close(self) -> None:
        """Stop registering; the record stays valid for a restart at this address."""
        self._registering.kill()

    def apply(self, key: str, value: bytes, change_context: ChangeContext) -> bool:
        if not value:
            return self._apply_removal(key, change_context)
        try:
            record = RECORD_CODEC.decode(value)
        except CodecError as error:
            _log.bind(instance=key, error=str(error)).warning("Record ignored.")
            return False
        if record.name != key or not record.address:
            _log.bind(instance=key, name=record.name[:80]).warning("Record ignored.")
            return False
        self._bus.add(record)
        return True

    def _apply_removal(self, key: str, change_context: ChangeContext) -> bool:
        if key == self._record.name:
            self._register_again()
            return False
        if change_context.is_restored:
            # The log was restored from an older copy without the record; the instance
            # is still up and registers again.
            return False
        self._bus.remove(key)
        return True

    def _register_again(self) -> None:
        """Write the record again, since new instances discover this one by it."""
        if self._registering is not None and self._registering.ready():
            _log.bind(instance=self._record.name).warning(
                "Own record missing from the log; registering again."
            )
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
                # Registering is idempotent, so any failure is retried.
                _log.bind(error=str(error)).warning("Registration failed; retrying.")
                gevent.sleep(pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
