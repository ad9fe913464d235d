"""Asking every router and changing the configuration, for operators' tools."""

import time
from collections.abc import Mapping

import attrs
import gevent.pool

from kumquatseam.errors import KumquatseamError
from kumquatseam.fleet import (
    CONTROL_CODEC,
    Command,
    ConfigurationState,
    QueryAnswer,
    QueryRequest,
    Row,
    append_command,
    read_current,
)
from kumquatseam.logservice import LogConflictError, LogService
from kumquatseam.operators._commands import changes_of
from kumquatseam.operators._parsing import LanguageError, parse
from kumquatseam.operators._statements import Commands, Query
from kumquatseam.operators._subjects import SUBJECT_COLUMNS
from kumquatseam.request_reply import ask_once
from kumquatseam.settings import Configuration

#: routers asked at once.
CONCURRENCY = 64
FORCE_POLL_S = 0.05
_PROBE = "show routers"


@attrs.define(frozen=True, eq=False)
class CommandConflictError(KumquatseamError):
    """Another operator's command came first; nothing of this one applies.

    :param read_offset: the offset the command was made for.
    :param end_offset: where the configuration's log ends now.
    """

    read_offset: int
    end_offset: int

    def __str__(self) -> str:
        return (
            f"operators: conflict: made for offset {self.read_offset}, but the log "
            f"already ends at {self.end_offset}; nothing was applied"
        )


@attrs.frozen
class ConsoleAnswer:
    """The fleet's answer to a query.

    :param columns: the rows' columns.
    :param rows: every router's rows.
    :param answered: routers that answered, with their configuration offset.
    :param silent: routers that did not answer in time.
    """

    columns: tuple[str, ...]
    rows: tuple[Row, ...]
    answered: Mapping[str, int]
    silent: tuple[str, ...]


@attrs.frozen
class AppliedCommands:
    """What became of commands that were accepted.

    :param offset: their record's offset in the configuration's log.
    :param in_force: routers seen to have them in force.
    :param lagging: routers not seen so in time.
    :param took_s: seconds from the log's answer to the last seen in force.
    """

    offset: int
    in_force: tuple[str, ...]
    lagging: tuple[str, ...]
    took_s: float


class FleetConsole:
    """An operator's way to the fleet.

    :param routers: control address by router name.
    :param log: the log service; ``None`` allows queries only.
    :param seed_configuration: what an empty log is seeded with.
    :param timeout_s: how long a router's answer is waited for.
    """

    def __init__(
        self,
        routers: Mapping[str, str],
        log: LogService | None,
        seed_configuration: Configuration,
        timeout_s: float = 2.0,
    ) -> None:
        self._routers = dict(routers)
        self._log_service = log
        self._seed_configuration = seed_configuration
        self._timeout_s = timeout_s

    def query(self, text: str) -> ConsoleAnswer:
        """Ask every router.

        :raises LanguageError: if ``text`` is not a query.
        """
        query = parse(text)
        if not isinstance(query, Query):
            raise LanguageError(text, 1, "this is a command; use apply")
        answers = self._ask_all(text)
        rows: list[Row] = []
        for answer in answers.values():
            if answer is not None:
                rows += answer.rows
        return ConsoleAnswer(
            columns=SUBJECT_COLUMNS[query.subject],
            rows=tuple(rows),
            answered={n: a.next_offset for n, a in answers.items() if a is not None},
            silent=tuple(n for n, a in answers.items() if a is None),
        )

    def read(self) -> ConfigurationState:
        """Return the configuration at the log's end, seeding an empty log.

        :raises LogServiceError: if the log did not answer.
        """
        return read_current(self._log_service, self._seed_configuration)

    def apply(
        self,
        text: str,
        operator: str,
        wait_s: float,
        state: ConfigurationState | None = None,
    ) -> AppliedCommands:
        """Append the commands in ``text`` and wait for them to be in force.

        :param operator: who issues them, kept in the record.
        :param wait_s: how long to watch routers take them on.
        :param state: the configuration they are made for; none reads it now.
        :raises LanguageError: if ``text`` is not commands.
        :raises ChangeRefusedError: if they do not fit the configuration.
        :raises CommandConflictError: if another command came first.
        :raises LogServiceError: if the log did not take them.
        """
        commands = parse(text)
        if not isinstance(commands, Commands):
            raise LanguageError(text, 1, "this is a query; use query")
        state = state or self.read()
        changes = changes_of(commands.commands, state.configuration)
        try:
            after = append_command(self._log_service, state, Command(operator, changes))
        except LogConflictError as conflict:
            raise CommandConflictError(
                state.next_offset, conflict.end_offset
            ) from conflict
        return self._watch(after.next_offset, wait_s)

    def _watch(self, next_offset: int, wait_s: float) -> AppliedCommands:
        """Ask routers until all have ``next_offset`` in force or time is up."""
        began_s = time.monotonic()
        lagging = set(self._routers)
        took_s = 0.0
        while lagging and time.monotonic() - began_s < wait_s:
            answers = self._ask_all(_PROBE, lagging)
            for name, answer in answers.items():
                if answer is not None and answer.next_offset >= next_offset:
                    lagging.discard(name)
                    took_s = time.monotonic() - began_s
            if lagging:
                gevent.sleep(FORCE_POLL_S)
        in_force = sorted(set(self._routers) - lagging)
        return AppliedCommands(
            next_offset - 1, tuple(in_force), tuple(sorted(lagging)), took_s
        )

    def _ask_all(self, text: str, names=None) -> dict[str, QueryAnswer | None]:
        """Return each router's answer, ``None`` for those that gave none."""
        asked = sorted(self._routers if names is None else names)
        pool = gevent.pool.Pool(CONCURRENCY)
        answers = pool.map(lambda name: self._ask(self._routers[name], text), asked)
        return dict(zip(asked, answers, strict=True))

    def _ask(self, address: str, text: str) -> QueryAnswer | None:
        question = QueryRequest(text)
        reply = ask_once(address, CONTROL_CODEC, question, self._timeout_s)
        return reply if isinstance(reply, QueryAnswer) else None
