"""HTTP connection pools that drop connections that stopped responding.

A middlebox can lose the state of open connections: they stay open but carry no
data, while new connections work. After one read timeout all idle connections to
the address are therefore closed, so that the next request opens a new one and
does not run into a timeout of its own.
"""

import socket

import urllib3
from urllib3.connection import HTTPConnection

#: maximum number of idle connections per address.
IDLE_CONNECTIONS = 64
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
#: maximum time that sent bytes may stay unacknowledged; then the connection fails.
#: Where it is set, Linux also ends keep-alive by it, whatever the number of probes, so
#: it leaves time for all of them.
USER_TIMEOUT_MS = 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES)


class AddressPools:
    """One connection pool per base URL, without urllib3's own retries."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.PoolManager] = {}

    def request(self, method: str, url: str, path: str, **options):
        """Send a request to ``path`` at base URL ``url``.

        A read timeout closes the idle connections to ``url``.

        :param options: further arguments of urllib3's ``request``.
        :returns: urllib3's response.
        :raises urllib3.exceptions.HTTPError: if the request fails.
        """
        try:
            return self._pool(url).request(method, f"{url}{path}", **options)
        except urllib3.exceptions.ReadTimeoutError:
            self.drop(url)
            raise

    def _pool(self, url: str) -> urllib3.PoolManager:
        pool = self._pools.get(url)
        if pool is None:
            pool = urllib3.PoolManager(
                maxsize=IDLE_CONNECTIONS,
                retries=False,
                socket_options=dead_peer_socket_options(),
            )
            self._pools[url] = pool
        return pool

    def drop(self, url: str) -> None:
        """Close the idle connections to ``url``.

        Running requests finish first; their connections are closed afterwards.
        """
        pool = self._pools.pop(url, None)
        if pool is not None:
            pool.clear()

    def close(self) -> None:
        """Close every idle connection."""
        for url in list(self._pools):
            self.drop(url)


def dead_peer_socket_options() -> list[tuple[int, int, int]]:
    """Return socket options that end connections whose peer does not acknowledge.

    They include urllib3's defaults, which disable Nagle's algorithm.
    """
    return [
        *HTTPConnection.default_socket_options,
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ]
