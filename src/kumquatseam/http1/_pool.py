"""A pool of idle connections to upstreams."""

import abc
import time

from kumquatseam.http1._connection import UpstreamConnection, open_connection

#: idle connections are closed this long before the upstream would close them.
IDLE_MARGIN_S = 0.5
#: assumed idle timeout of an upstream that states none.
DEFAULT_IDLE_S = 4.0
#: maximum number of idle connections per address.
MAX_IDLE = 32
#: size of what a connection remembers of the requests it carried, 8 bytes for each;
#: then it is closed.
MAX_CARRIED_BYTES = 4096


class Connector(abc.ABC):
    """Opens connections to upstreams."""

    @abc.abstractmethod
    def connect(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Open a connection to ``address`` (``host:port``).

        :raises ConnectFailedError: if none can be opened.
        """


class DirectConnector(Connector):
    """Connects directly."""

    def connect(self, address: str, timeout_s: float) -> UpstreamConnection:
        return open_connection(address, timeout_s)


class ConnectionPool:
    """Idle connections by address.

    A connection serves one request at a time. It is kept only if its last response
    was complete and nothing followed it.

    No connection carries two sends of one id: a late response to the first one could
    not be told from the response to the second.

    :param connect_timeout_s: timeout of a new connection.
    :param connector: opens new connections.
    """

    def __init__(
        self, connect_timeout_s: float, connector: Connector | None = None
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._connector = connector or DirectConnector()
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    def acquire(
        self, address: str, timeout_s: float, request_id: str
    ) -> UpstreamConnection:
        """Return an idle connection that is still open, or a new one.

        :param timeout_s: timeout of connecting, if shorter than the pool's own.
        :param request_id: id of the one request that is sent on it.
        :raises ConnectFailedError: if no new one can be opened.
        """
        idle = self._idle.get(address, [])
        key = hash(request_id).to_bytes(8, "little", signed=True)
        now_s = time.monotonic()
        for position in reversed(range(len(idle))):
            if key in idle[position].carried:
                continue
            connection = idle.pop(position)
            if now_s < connection.reuse_until_s and connection.is_open_and_idle():
                break
            connection.close()
        else:
            if idle:
                # Upstreams limit the number of connections.
                idle.pop().close()
            self.opened += 1
            timeout_s = min(timeout_s, self._connect_timeout_s)
            connection = self._connector.connect(address, timeout_s)
        connection.carried += key
        return connection

    def release(
        self, connection: UpstreamConnection, keep_alive_s: float | None
    ) -> None:
        """Keep ``connection`` for another request, or close it.

        :param keep_alive_s: the idle timeout that its upstream stated, if any.
        """
        idle = self._idle.setdefault(connection.address, [])
        is_full = len(connection.carried) >= MAX_CARRIED_BYTES
        if not connection.is_reusable or is_full or len(idle) >= MAX_IDLE:
            connection.close()
            return
        limit_s = DEFAULT_IDLE_S if keep_alive_s is None else keep_alive_s
        connection.reuse_until_s = time.monotonic() + limit_s - IDLE_MARGIN_S
        idle.append(connection)

    def drop(self, address: str) -> None:
        """Close the idle connections to ``address``."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def sweep(self) -> None:
        """Close idle connections past their idle timeout."""
        now_s = time.monotonic()
        for address, idle in list(self._idle.items()):
            kept = [c for c in idle if now_s < c.reuse_until_s]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
