"""Keeping the configuration in force by following the log service.

The configuration is the newest record of every entity in one keyed topic.
A daemon starts on its INI file's configuration, loads the newest records,
seeds an empty topic with its own (a conditional append: exactly one daemon's
wins), and then waits for records at the topic's end, so a change is in force
within one answer of the log. If the log forgot the records in between, the
newest of each entity are loaded again; nothing accepted is ever lost.
"""

from collections.abc import Callable, Iterable

import attrs
import gevent
import gevent.event

from kumquatseam.errors import CodecError
from kumquatseam.fleet._changes import apply_changes
from kumquatseam.fleet._live import LiveConfiguration
from kumquatseam.fleet._records import (
    RECORD_CODEC,
    EntityChange,
    EntityRecord,
    entity_key,
    entity_of,
    new_record_id,
    split_entity_key,
    values_of,
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
    frame_keyed,
    offset_of,
    unframe_keyed,
)
from kumquatseam.loops import BackgroundTask
from kumquatseam.settings import Configuration, Entity, FieldFault

_log = part_logger("config")

CONFIGURATION_TOPIC = f"{KEYED_PREFIX}kumquatseam.configuration"
RETRY_PAUSE_S = 0.5
#: how long a starting router waits for the log before it serves.
START_PATIENCE_S = 1.0
#: the operator named in the records that seed an empty topic.
SEED_OPERATOR = "seed"


@attrs.frozen
class ConfigurationState:
    """A configuration and how much of the topic it includes.

    :param configuration: the entities.
    :param next_offset: the offset after the last record included.
    """

    configuration: Configuration
    next_offset: int


@attrs.frozen
class Command:
    """An operator's command, ready to append.

    :param operator: who issues it.
    :param changes: the changes, in order; all apply or none.
    """

    operator: str
    changes: tuple[EntityChange, ...]


def fold(state: ConfigurationState, records: Iterable[LogRecord]):
    """Return ``state`` after every command that is whole in ``records``."""
    group: list[tuple[str, EntityRecord]] = []
    for record in records:
        try:
            key, value = unframe_keyed(record.payload)
            entity = RECORD_CODEC.decode(value)
        except CodecError as error:
            _log.warning("Skipped record offset={}: {}.", record.offset, error)
            continue
        group.append((key, entity))
        if entity.index == entity.count - 1:
            configuration = _replace(state.configuration, group)
            state = ConfigurationState(configuration, record.offset + 1)
            keys = ", ".join(key for key, _ in group[:5])
            _log.info(
                "Applied offset={} operator={} entities={} ({}).",
                record.offset,
                entity.operator,
                len(group),
                keys,
            )
            group = []
    return state


def load_newest(log: LogService) -> ConfigurationState:
    """Return the state made of the newest record of every entity.

    :raises LogServiceError: if the log did not answer.
    """
    page = log.newest(CONFIGURATION_TOPIC)
    group = []
    for record in page.records:
        try:
            group.append((record.key, RECORD_CODEC.decode(record.value)))
        except CodecError as error:
            _log.warning("Skipped record key={}: {}.", record.key, error)
    return ConfigurationState(_replace(Configuration(), group), page.end_offset)


def read_state(log: LogService, state: ConfigurationState) -> ConfigurationState:
    """Return ``state`` brought up to the topic's end.

    :raises LogServiceError: if the log did not answer.
    """
    try:
        return fold(state, _read_all(log, state.next_offset))
    except LogRecordsExpiredError:
        _log.info("The log forgot offset={}; loading the newest.", state.next_offset)
        return load_newest(log)


def _read_all(log: LogService, from_offset: int) -> list[LogRecord]:
    """Return every record from ``from_offset`` to the topic's end."""
    records: list[LogRecord] = []
    while True:
        found = log.read(CONFIGURATION_TOPIC, from_offset + len(records))
        records += found.records
        if not found.records or records[-1].offset + 1 >= found.end_offset:
            return records


def read_current(log: LogService, seed_configuration: Configuration):
    """Return the state at the topic's end, seeding an empty topic.

    :param seed_configuration: what an empty topic is seeded with.
    :raises LogServiceError: if the log did not answer.
    """
    state = load_newest(log)
    if offset_of(state.next_offset) == 0:
        state = _seed(log, seed_configuration)
    return read_state(log, state)


def _seed(log: LogService, configuration: Configuration) -> ConfigurationState:
    """Make ``configuration`` the first command; of several that try, one wins."""
    changed = [(k, e.name, e) for k, e in configuration.entities()]
    if not changed:
        return ConfigurationState(configuration, 0)
    try:
        append_once(log, CONFIGURATION_TOPIC, _payloads(SEED_OPERATOR, changed), 0)
        _log.info("Seeded the empty log with the settings' configuration.")
    except LogConflictError:
        _log.info("Another process seeded the log.")
    return load_newest(log)


def append_command(
    log: LogService, state: ConfigurationState, command: Command
) -> ConfigurationState:
    """Append ``command`` at the offset ``state`` was read at.

    :returns: the state after it.
    :raises ChangeRefusedError: if it does not fit; nothing was appended.
    :raises LogConflictError: if another command came first.
    :raises LogServiceError: if the log did not take it.
    """
    after = apply_changes(state.configuration, command.changes)
    touched = dict.fromkeys((c.kind, c.name) for c in command.changes)
    changed = [(kind, name, after.find(kind, name)) for kind, name in touched]
    payloads = _payloads(command.operator, changed)
    append_once(log, CONFIGURATION_TOPIC, payloads, state.next_offset)
    return ConfigurationState(after, state.next_offset + len(payloads))


def _payloads(
    operator: str, changed: list[tuple[str, str, Entity | None]]
) -> list[bytes]:
    """Return one framed record per entity changed; ``None`` drops one."""
    command_id = new_record_id()
    payloads = []
    for index, (kind, name, entity) in enumerate(changed):
        record = EntityRecord(
            command_id=command_id,
            operator=operator,
            index=index,
            count=len(changed),
            is_dropped=entity is None,
            fields=values_of(entity) if entity is not None else (),
        )
        payloads.append(
            frame_keyed(entity_key(kind, name), RECORD_CODEC.encode(record))
        )
    return payloads


def _replace(
    configuration: Configuration, group: list[tuple[str, EntityRecord]]
) -> Configuration:
    """Return ``configuration`` with the entities of ``group`` as recorded."""
    entities = {(kind, e.name): e for kind, e in configuration.entities()}
    for key, record in group:
        kind, name = split_entity_key(key)
        if record.is_dropped:
            entities.pop((kind, name), None)
            continue
        try:
            entities[(kind, name)] = entity_of(kind, name, record.fields)
        except (FieldFault, KeyError) as error:
            _log.warning("Skipped {}: {!r}.", key, error)
    return Configuration.of((kind, e) for (kind, _), e in entities.items())


class ConfigurationFollower(BackgroundTask):
    """Follows the configuration's topic and keeps it in force.

    :param log: the log service.
    :param live: where the configuration is put in force.
    :param poll_s: how long one read waits for the next record.
    :param sleep: pauses after a failed call.
    """

    def __init__(
        self,
        log: LogService,
        live: LiveConfiguration,
        poll_s: float,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        super().__init__()
        self._log_service = log
        self._live = live
        self._poll_s = poll_s
        self._sleep = sleep
        self._caught_up = gevent.event.Event()

    def start(self) -> None:
        """Catch up if the log answers at once; follow it from then on.

        Callers are accepted after this, so a restarted router begins on the
        configuration in the log. If the log does not answer within
        ``START_PATIENCE_S`` the router serves on what it has.
        """
        super().start()
        self._caught_up.wait(START_PATIENCE_S)

    def catch_up(self) -> None:
        """Load the newest records, or seed an empty topic.

        :raises LogServiceError: if the log did not answer.
        """
        self._put_in_force(read_current(self._log_service, self._live.current))

    def follow_once(self) -> None:
        """Wait once for records at the topic's end and put them in force.

        :raises LogServiceError: if the log did not answer.
        """
        offset = self._live.next_offset
        try:
            found = self._log_service.read(CONFIGURATION_TOPIC, offset, self._poll_s)
        except LogRecordsExpiredError:
            self._put_in_force(load_newest(self._log_service))
            return
        if found.records:
            state = ConfigurationState(self._live.current, offset)
            self._put_in_force(read_state(self._log_service, state))

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
