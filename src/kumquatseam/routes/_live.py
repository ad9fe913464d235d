"""The route table in force, which never reverts to an older version."""

from collections.abc import Callable

from kumquatseam.logs import part_logger
from kumquatseam.routes._table import RouteTable

_log = part_logger("config")


class LiveRouteTable:
    """Holds the newest route table that this process has received."""

    def __init__(self) -> None:
        self._current: RouteTable | None = None
        self._listeners: list[Callable[[RouteTable], None]] = []

    @property
    def current(self) -> RouteTable | None:
        """The table in force; ``None`` before the first one is received."""
        return self._current

    def on_change(self, listener: Callable[[RouteTable], None]) -> None:
        """Call ``listener`` with each new table."""
        self._listeners.append(listener)

    def apply(self, table: RouteTable, source: str) -> bool:
        """Put ``table`` in force if it is newer than the current one.

        A log service that lost its history, or a peer that lags behind, may deliver an
        older version; it is ignored, since a configuration never reverts.

        :param source: where the table came from, for the log line.
        :returns: whether it was put in force.
        """
        known = self._current.version if self._current else None
        if known is not None and table.version <= known:
            return False
        self._current = table
        _log.bind(
            version=table.version,
            before=known,
            source=source,
            routes=len(table.routes),
            teams=len(table.teams),
        ).info("Configuration in force.")
        for listener in self._listeners:
            listener(table)
        return True
