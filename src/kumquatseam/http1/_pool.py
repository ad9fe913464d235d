"""Idle connections to upstreams, kept while they are sound."""

import time

from kumquatseam.http1._connection import UpstreamConnection, open_connection

#: idle connections are dropped this long before the upstream would close them.
IDLE_MARGIN_S = 0.5
#: assumed idle limit of an upstream that names none.
DEFAULT_IDLE_S = 4.0
#: idle connections kept per address.
MAX_IDLE = 32


class ConnectionPool:
    """Connections by address and upstream life.

    A connection serves one request at a time and comes back only if its last
    answer ended whole with nothing after it.

    :param connect_timeout_s: how long a new connection may take.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    def take(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Return a sound idle connection, or a new one.

        :param timeout_s: upper bound on connecting, below the pool's own.
        :raises ConnectFailedError: if no new one can be opened.
        """
        idle = self._idle.get(address, [])
        now_s = time.monotonic()
        while idle:
            connection = idle.pop()
            if now_s < connection.idle_limit_s and connection.is_quiet():
                return connection
            connection.close()
        self.opened += 1
        return open_connection(address, min(timeout_s, self._connect_timeout_s))

    def give_back(
        self, connection: UpstreamConnection, keep_alive_s: float | None
    ) -> None:
        """Keep ``connection`` for another request, or close it.

        :param keep_alive_s: the idle limit its upstream named, if any.
        """
        idle = self._idle.setdefault(connection.address, [])
        if not connection.may_be_reused or len(idle) >= MAX_IDLE:
            connection.close()
            return
        limit_s = DEFAULT_IDLE_S if keep_alive_s is None else keep_alive_s
        connection.idle_limit_s = time.monotonic() + limit_s - IDLE_MARGIN_S
        idle.append(connection)

    def drop(self, address: str) -> None:
        """Close the idle connections to ``address``."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def sweep(self) -> None:
        """Close idle connections past their limit."""
        now_s = time.monotonic()
        for address, idle in list(self._idle.items()):
            kept = [c for c in idle if now_s < c.idle_limit_s]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.drop(address)
