"""The route table in force, which never goes back to an older version."""

from collections.abc import Callable

from kumquatseam.logs import part_logger
from kumquatseam.routes._table import RouteTable

_log = part_logger("config")


class LiveRouteTable:
    """Holds the newest route table this process knows."""

    def __init__(self) -> None:
        self._current: RouteTable | None = None
        self._listeners: list[Callable[[RouteTable], None]] = []

    @property
    def current(self) -> RouteTable | None:
        """The table in force; ``None`` before the first is known."""
        return self._current

    def on_change(self, listener: Callable[[RouteTable], None]) -> None:
        """Call ``listener`` with each new table."""
        self._listeners.append(listener)

    def apply(self, table: RouteTable, source: str) -> bool:
        """Put ``table`` in force if it is newer than what is.

        A log whose history was dropped, or a peer that lags, may show an older
        version; it is ignored, since a configuration never reverts.

        :param source: where it came from, for the log line.
        :returns: whether it was newer.
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
