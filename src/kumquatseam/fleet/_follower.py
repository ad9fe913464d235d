"""Keeping the configuration in force by following the log service.

The configuration is the fold of the records of one topic, in offset order.
Records expire, so a keyed topic keeps a snapshot for good. A daemon starts
on its INI file's configuration, takes the snapshot if there is one, seeds an
empty log with its own (a conditional append: exactly one daemon's wins), and
then waits for records at the log's end, so a change is in force within one
answer of the log.
"""

from collections.abc import Callable

import attrs
import gevent
import gevent.event

from kumquatseam.errors import CodecError
from kumquatseam.fleet._changes import ChangeRefusedError, apply_changes
from kumquatseam.fleet._live import LiveConfiguration
from kumquatseam.fleet._records import (
    RECORD_CODEC,
    ConfigurationRecord,
    ConfigurationSnapshot,
    configuration_of,
    snapshot_of,
)
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    KEYED_PREFIX,
    LogConflictError,
    LogRecord,
    LogRecordsExpiredError,
    LogService,
    LogServiceError,
    append_once,
)
from kumquatseam.settings import Configuration

_log = part_logger("config")

CONFIGURATION_TOPIC = "kumquatseam.configuration"
SNAPSHOT_TOPIC = f"{KEYED_PREFIX}kumquatseam.configuration"
SNAPSHOT_KEY = "configuration"
RETRY_PAUSE_S = 0.5
#: how long a starting router waits for the log before it serves.
START_PATIENCE_S = 1.0


@attrs.frozen
class ConfigurationState:
    """A configuration and how much of the log it includes.

    :param configuration: the entities.
    :param next_offset: the offset after the last record included.
    """

    configuration: Configuration
    next_offset: int


def fold(state: ConfigurationState, records: tuple[LogRecord, ...]):
    """Return ``state`` after ``records``, skipping those already included.

    A record that no longer fits (which a conditional append prevents) or
    cannot be read is skipped by every daemon alike.
    """
    for record in records:
        if record.offset < state.next_offset:
            continue
        configuration = _apply_record(state.configuration, record)
        state = ConfigurationState(configuration, record.offset + 1)
    return state


def _apply_record(configuration: Configuration, record: LogRecord) -> Configuration:
    try:
        message = RECORD_CODEC.decode(record.payload)
        if isinstance(message, ConfigurationSnapshot):
            return configuration_of(message)
        configuration = apply_changes(configuration, message.changes)
    except (CodecError, ChangeRefusedError) as error:
        _log.warning("Skipped record offset={}: {}.", record.offset, error)
        return configuration
    _log.info(
        "Applied record offset={} operator={} changes={}.",
        record.offset,
        message.operator,
        "; ".join(f"{c.verb} {c.kind} {c.name}" for c in message.changes),
    )
    return configuration


def read_state(log: LogService, state: ConfigurationState) -> ConfigurationState:
    """Return ``state`` brought up to the log's end.

    :raises LogServiceError: if the log did not answer.
    """
    try:
        return fold(state, log.read(CONFIGURATION_TOPIC, state.next_offset).records)
    except LogRecordsExpiredError:
        state = read_snapshot(log) or state
        return fold(state, log.read(CONFIGURATION_TOPIC, state.next_offset).records)


def read_snapshot(log: LogService) -> ConfigurationState | None:
    """Return the state of the newest snapshot, if there is one."""
    for record in log.newest(SNAPSHOT_TOPIC).records:
        if record.key == SNAPSHOT_KEY:
            snapshot = RECORD_CODEC.decode(record.value)
            return ConfigurationState(configuration_of(snapshot), snapshot.next_offset)
    return None


def write_snapshot(log: LogService, state: ConfigurationState) -> bool:
    """Keep ``state`` as the snapshot unless a newer one is kept already.

    Conditional on the topic's end, so a writer that was paused cannot put an
    older snapshot over a newer one.

    :returns: whether it was written.
    """
    page = log.newest(SNAPSHOT_TOPIC)
    for record in page.records:
        if RECORD_CODEC.decode(record.value).next_offset >= state.next_offset:
            return False
    value = RECORD_CODEC.encode(snapshot_of(state.configuration, state.next_offset))
    try:
        log.append_keyed(SNAPSHOT_TOPIC, SNAPSHOT_KEY, value, at=page.end_offset)
    except LogConflictError:
        return False
    return True


def seed(log: LogService, configuration: Configuration) -> ConfigurationState:
    """Make ``configuration`` the first record of an empty log.

    Of several that try, one wins, and all go on from its record.

    :returns: the state at the log's end.
    :raises LogServiceError: if the log did not answer.
    """
    payload = RECORD_CODEC.encode(snapshot_of(configuration, 1))
    try:
        append_once(log, CONFIGURATION_TOPIC, payload, 0)
        _log.info("Seeded the empty log with the settings' configuration.")
    except LogConflictError:
        _log.info("Another process seeded the log.")
    return read_state(log, ConfigurationState(configuration, 0))


def append_change(
    log: LogService, state: ConfigurationState, record: ConfigurationRecord
) -> ConfigurationState:
    """Append ``record`` at the offset ``state`` was read at.

    :returns: the state after it.
    :raises ChangeRefusedError: if it does not fit; nothing was appended.
    :raises LogConflictError: if another change came first.
    """
    configuration = apply_changes(state.configuration, record.changes)
    payload = RECORD_CODEC.encode(record)
    append_once(log, CONFIGURATION_TOPIC, payload, state.next_offset)
    return ConfigurationState(configuration, state.next_offset + 1)


class ConfigurationFollower:
    """Follows the configuration topic and keeps it in force.

    :param log: the log service.
    :param live: where the configuration is put in force.
    :param poll_s: how long one read waits for the next record.
    """

    def __init__(
        self,
        log: LogService,
        live: LiveConfiguration,
        poll_s: float,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        self._log_service = log
        self._live = live
        self._poll_s = poll_s
        self._sleep = sleep
        self._greenlet: gevent.Greenlet | None = None
        self._caught_up = gevent.event.Event()

    def start(self) -> None:
        """Catch up if the log answers at once; follow it from then on.

        Callers are accepted after this, so a restarted router begins on the
        configuration in the log. If the log does not answer within
        ``START_PATIENCE_S`` the router serves on what it has.
        """
        self._greenlet = gevent.spawn(self._run)
        self._caught_up.wait(START_PATIENCE_S)

    def close(self) -> None:
        """Stop following."""
        if self._greenlet is not None:
            self._greenlet.kill()

    @property
    def state(self) -> ConfigurationState:
        """The configuration in force and its place in the log."""
        return ConfigurationState(self._live.current, self._live.next_offset)

    def catch_up(self) -> None:
        """Take the snapshot or seed an empty log; then read to its end.

        :raises LogServiceError: if the log did not answer.
        """
        snapshot = read_snapshot(self._log_service)
        if snapshot is not None:
            self._put_in_force(snapshot)
        self._put_in_force(read_state(self._log_service, self.state))
        if self._live.next_offset == 0:
            self._put_in_force(seed(self._log_service, self._live.current))

    def follow_once(self) -> None:
        """Wait once for records at the log's end and put them in force.

        :raises LogServiceError: if the log did not answer.
        """
        offset = self._live.next_offset
        try:
            found = self._log_service.read(CONFIGURATION_TOPIC, offset, self._poll_s)
        except LogRecordsExpiredError:
            self.catch_up()
            return
        self._put_in_force(fold(self.state, found.records))

    def _put_in_force(self, state: ConfigurationState) -> None:
        if self._live.advance(state.configuration, state.next_offset):
            _log.info("In force offset={}.", state.next_offset - 1)

    def _run(self) -> None:
        while True:
            try:
                if not self._caught_up.is_set():
                    self.catch_up()
                    self._caught_up.set()
                self.follow_once()
            except LogServiceError as error:
                _log.warning("Keeping offset={}: {}.", self._live.next_offset, error)
                self._sleep(RETRY_PAUSE_S)
