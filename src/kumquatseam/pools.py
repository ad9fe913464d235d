"""HTTP connection pools that forget connections gone silent.

Something between two ends can lose track of open connections: they go silent
for good while new ones work. One timeout then says that every idle
connection to that address is suspect, so all of them are dropped and the
next request opens a new one, instead of each waiting out its own timeout.
"""

import socket

import urllib3
from urllib3.connection import HTTPConnection

#: idle connections kept per address.
IDLE_CONNECTIONS = 64
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
#: how long sent bytes may stay unacknowledged before a connection ends.
USER_TIMEOUT_MS = 3000


class AddressPools:
    """One pool of connections per base URL; urllib3 retries nothing itself."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.PoolManager] = {}

    def request(self, method: str, url: str, path: str, **options):
        """Send a request to ``path`` at base URL ``url``.

        A read timeout drops the idle connections to ``url``.

        :param options: passed on to urllib3.
        :returns: urllib3's response.
        :raises urllib3.exceptions.HTTPError: as urllib3 does.
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
        """Close the idle connections to ``url``: one of them went silent.

        Requests that run on others finish; their connections close after.
        """
        pool = self._pools.pop(url, None)
        if pool is not None:
            pool.clear()

    def close(self) -> None:
        """Close every idle connection."""
        for url in list(self._pools):
            self.drop(url)


def dead_peer_socket_options() -> list[tuple[int, int, int]]:
    """Return socket options that end connections no one acknowledges.

    urllib3's own come first: they send small writes at once.
    """
    return [
        *HTTPConnection.default_socket_options,
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ]
