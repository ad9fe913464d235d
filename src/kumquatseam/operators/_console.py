"""Querying every router and changing the configuration, for operators' tools."""

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
from kumquatseam.operators._commands import to_changes
from kumquatseam.operators._parsing import LanguageError, parse
from kumquatseam.operators._statements import Commands, Query
from kumquatseam.operators._subjects import SUBJECT_COLUMNS
from kumquatseam.request_reply import request_once
from kumquatseam.settings import Configuration

#: routers queried in parallel.
CONCURRENCY = 64
APPLIED_POLL_INTERVAL_S = 0.05
#: query sent to learn the configuration offset of a router.
_OFFSET_QUERY = "show routers"


@attrs.define(frozen=True, eq=False)
class CommandConflictError(KumquatseamError):
    """Another command was appended concurrently; nothing of this one is applied.

    :param read_offset: end offset of the log that the command was based on.
    :param end_offset: current end offset of the configuration log.
    """

    read_offset: int
    end_offset: int

    def __str__(self) -> str:
        return (
            f"operators: conflict: based on offset {self.read_offset}, but the log "
            f"already ends at {self.end_offset}; nothing was applied"
        )


@attrs.frozen
class ConsoleAnswer:
    """The combined answer of all routers to a query.

    :param columns: names of the columns.
    :param rows: rows of all routers.
    :param answered: configuration offset by name of the routers that answered.
    :param unanswered: routers that did not answer within the timeout.
    """

    columns: tuple[str, ...]
    rows: tuple[Row, ...]
    answered: Mapping[str, int]
    unanswered: tuple[str, ...]


@attrs.frozen
class AppliedCommands:
    """Progress of commands that were appended to the log.

    :param offset: offset of their record in the configuration log.
    :param in_force: routers that confirmed having applied them.
    :param lagging: routers that did not confirm it in time.
    :param took_s: seconds from the log's acknowledgement to the last confirmation.
    """

    offset: int
    in_force: tuple[str, ...]
    lagging: tuple[str, ...]
    took_s: float


class FleetConsole:
    """Client that sends queries to all routers and appends commands to the log.

    :param routers: control address by router name.
    :param log: the log service; ``None`` allows queries only.
    :param seed_configuration: configuration written to an empty log.
    :param timeout_s: timeout of a query to one router.
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
        """Send a query to every router.

        :raises LanguageError: if ``text`` is not a query.
        """
        query = parse(text)
        if not isinstance(query, Query):
            raise LanguageError(text, 1, "this is a command, not a query; use apply")
        answers = self._query_all(text)
        rows: list[Row] = []
        for answer in answers.values():
            if answer is not None:
                rows += answer.rows
        return ConsoleAnswer(
            columns=SUBJECT_COLUMNS[query.subject],
            rows=tuple(rows),
            answered={n: a.next_offset for n, a in answers.items() if a is not None},
            unanswered=tuple(n for n, a in answers.items() if a is None),
        )

    def read(self) -> ConfigurationState:
        """Return the newest configuration in the log; seeds an empty log.

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
        """Append the commands in ``text`` and wait until all routers applied them.

        :param operator: who issues them; stored in the record.
        :param wait_s: maximum wait for the routers to apply them.
        :param state: the configuration they are based on; ``None`` reads the newest.
        :raises LanguageError: if ``text`` has no commands.
        :raises ChangeRefusedError: if they are invalid for the configuration.
        :raises CommandConflictError: if another command was appended concurrently.
        :raises LogServiceError: if the log did not store them.
        """
        commands = parse(text)
        if not isinstance(commands, Commands):
            raise LanguageError(text, 1, "this is a query, not a command; use query")
        state = state or self.read()
        changes = to_changes(commands.commands, state.configuration)
        try:
            after = append_command(self._log_service, state, Command(operator, changes))
        except LogConflictError as conflict:
            raise CommandConflictError(
                state.next_offset, conflict.end_offset
            ) from conflict
        return self._wait_until_applied(after.next_offset, wait_s)

    def _wait_until_applied(self, next_offset: int, wait_s: float) -> AppliedCommands:
        """Poll the routers until all have applied ``next_offset`` or time out."""
        started_s = time.monotonic()
        lagging = set(self._routers)
        took_s = 0.0
        while lagging and time.monotonic() - started_s < wait_s:
            answers = self._query_all(_OFFSET_QUERY, lagging)
            for name, answer in answers.items():
                if answer is not None and answer.next_offset >= next_offset:
                    lagging.discard(name)
                    took_s = time.monotonic() - started_s
            if lagging:
                gevent.sleep(APPLIED_POLL_INTERVAL_S)
        in_force = sorted(set(self._routers) - lagging)
        return AppliedCommands(
            next_offset - 1, tuple(in_force), tuple(sorted(lagging)), took_s
        )

    def _query_all(self, text: str, names=None) -> dict[str, QueryAnswer | None]:
        """Return the answer of each router, ``None`` where the query failed."""
        queried = sorted(self._routers if names is None else names)
        pool = gevent.pool.Pool(CONCURRENCY)
        answers = pool.map(
            lambda name: self._query_router(self._routers[name], text), queried
        )
        return dict(zip(queried, answers, strict=True))

    def _query_router(self, address: str, text: str) -> QueryAnswer | None:
        request = QueryRequest(text)
        reply = request_once(address, CONTROL_CODEC, request, self._timeout_s)
        return reply if isinstance(reply, QueryAnswer) else None
