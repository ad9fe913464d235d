"""Keep a daemon's configuration up to date with the log service.

The configuration is the newest record of every entity in one keyed topic.
A daemon starts with the configuration of its INI file and loads the newest
records. If the topic is empty, it seeds it with its own configuration by a
conditional append, which succeeds for exactly one daemon. It then long-polls
the end of the topic, so a change is in force within one reply of the log. If
records have expired before they were read, the newest record of each entity
is loaded again, so no accepted change is lost.
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
    field_values,
    new_record_id,
    parse_entity,
    split_entity_key,
)
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    KEYED_PREFIX,
    LogConflictError,
    LogRecord,
    LogRecordsExpiredError,
    LogService,
    LogServiceError,
    frame_keyed,
    offset_of,
    unframe_keyed,
)
from kumquatseam.logservice.appending import append_once
from kumquatseam.loops import BackgroundTask
from kumquatseam.settings import Configuration, Entity, InvalidFieldError

_log = part_logger("config")

CONFIGURATION_TOPIC = f"{KEYED_PREFIX}kumquatseam.configuration"
RETRY_PAUSE_S = 0.5
#: how long a starting router waits for the log before it serves callers.
START_TIMEOUT_S = 1.0
#: operator name in the records that seed an empty topic.
SEED_OPERATOR = "seed"


@attrs.frozen
class ConfigurationState:
    """A configuration and the topic offset up to which it is current.

    :param configuration: the entities.
    :param next_offset: offset after the last record included.
    """

    configuration: Configuration
    next_offset: int


@attrs.frozen
class Command:
    """An operator's command, ready to append.

    :param operator: who issued it.
    :param changes: the changes, in order; either all are applied or none.
    """

    operator: str
    changes: tuple[EntityChange, ...]


def apply_records(state: ConfigurationState, records: Iterable[LogRecord]):
    """Return ``state`` with every command applied that is complete in ``records``."""
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
    """Return the state built from the newest record of every entity.

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
        return apply_records(state, _read_all(log, state.next_offset))
    except LogRecordsExpiredError:
        _log.info(
            "Records expired from offset={}; loading the newest.", state.next_offset
        )
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

    :param seed_configuration: configuration to seed an empty topic with.
    :raises LogServiceError: if the log did not answer.
    """
    state = load_newest(log)
    if offset_of(state.next_offset) == 0:
        state = _seed(log, seed_configuration)
    return read_state(log, state)


def _seed(log: LogService, configuration: Configuration) -> ConfigurationState:
    """Append ``configuration`` as the first command, unless another process did."""
    changed = [(k, e.name, e) for k, e in configuration.entities()]
    if not changed:
        return ConfigurationState(configuration, 0)
    try:
        append_once(log, CONFIGURATION_TOPIC, _payloads(SEED_OPERATOR, changed), 0)
        _log.info("Seeded the configuration topic from the settings file.")
    except LogConflictError:
        _log.info("Another process seeded the configuration topic first.")
    return load_newest(log)


def append_command(
    log: LogService, state: ConfigurationState, command: Command
) -> ConfigurationState:
    """Append ``command`` on condition that the topic still ends at ``state``.

    :returns: the state after the command.
    :raises ChangeRefusedError: if a change is invalid; nothing was appended.
    :raises LogConflictError: if another command was appended first.
    :raises LogServiceError: if the log did not confirm the append.
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
    """Return one framed record per changed entity; ``None`` marks a dropped one."""
    command_id = new_record_id()
    payloads = []
    for index, (kind, name, entity) in enumerate(changed):
        record = EntityRecord(
            command_id=command_id,
            operator=operator,
            index=index,
            count=len(changed),
            is_dropped=entity is None,
            fields=field_values(entity) if entity is not None else (),
        )
        payloads.append(
            frame_keyed(entity_key(kind, name), RECORD_CODEC.encode(record))
        )
    return payloads


def _replace(
    configuration: Configuration, group: list[tuple[str, EntityRecord]]
) -> Configuration:
    """Return ``configuration`` with the entities of ``group`` replaced."""
    entities = {(kind, e.name): e for kind, e in configuration.entities()}
    for key, record in group:
        kind, name = split_entity_key(key)
        if record.is_dropped:
            entities.pop((kind, name), None)
            continue
        try:
            entities[(kind, name)] = parse_entity(kind, name, record.fields)
        except (InvalidFieldError, KeyError) as error:
            _log.warning("Skipped {}: {!r}.", key, error)
    return Configuration.from_entities((kind, e) for (kind, _), e in entities.items())


class ConfigurationFollower(BackgroundTask):
    """Follows the configuration topic and applies every new configuration.

    :param log: the log service.
    :param live: the shared configuration to update.
    :param poll_s: how long one read waits for the next record.
    :param sleep: called to pause after a failed read.
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
        """Start following the log and wait briefly for the first catch-up.

        Callers are accepted after this returns, so a restarted router serves
        with the configuration in the log. If the log does not answer within
        ``START_TIMEOUT_S``, the router serves with the configuration it has.
        """
        super().start()
        self._caught_up.wait(START_TIMEOUT_S)

    def catch_up(self) -> None:
        """Load the newest records, or seed the topic if it is empty.

        :raises LogServiceError: if the log did not answer.
        """
        self._activate(read_current(self._log_service, self._live.current))

    def follow_once(self) -> None:
        """Wait once for records at the topic's end and apply them.

        :raises LogServiceError: if the log did not answer.
        """
        offset = self._live.next_offset
        try:
            found = self._log_service.read(CONFIGURATION_TOPIC, offset, self._poll_s)
        except LogRecordsExpiredError:
            self._activate(load_newest(self._log_service))
            return
        if found.records:
            state = ConfigurationState(self._live.current, offset)
            self._activate(read_state(self._log_service, state))

    def _activate(self, state: ConfigurationState) -> None:
        if self._live.advance(state.configuration, state.next_offset):
            _log.info("Configuration in force offset={}.", state.next_offset - 1)

    def _run(self) -> None:
        while True:
            try:
                if not self._caught_up.is_set():
                    self.catch_up()
                    self._caught_up.set()
                self.follow_once()
            except LogServiceError as error:
                _log.warning(
                    "Cannot read the log; keeping the configuration offset={}: {}.",
                    self._live.next_offset,
                    error,
                )
                self._sleep(RETRY_PAUSE_S)
