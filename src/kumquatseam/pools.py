"""HTTP connection pools that drop connections that stopped responding."""

import contextlib
import socket
from collections.abc import Iterator

import attrs
import urllib3
from urllib3.connection import HTTPConnection

from kumquatseam.response_limits import (
    LimitedConnectionPool,
    ResponseLimits,
    limited,
    read_body,
)

#: maximum number of idle connections per address.
IDLE_CONNECTIONS = 64
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
#: maximum time that sent bytes may stay unacknowledged; then the connection fails.
#: Where it is set, Linux also ends keep-alive by it, whatever the number of probes, so
#: it leaves time for all of them.
USER_TIMEOUT_MS = 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES)


@attrs.frozen
class PooledResponse:
    """A response that was received whole.

    :param status: e.g. ``200``.
    :param headers: its header fields.
    :param data: its decoded body.
    :param reason: the reason phrase of its status line.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    data: bytes
    reason: bytes = b""


class AddressPools:
    """One connection pool per base URL, without urllib3's own retries.

    Nothing is received beyond the limits that each call states: there is no way to
    make one without.

    :param keeps_connections: whether a connection carries several calls, to any of
        which a late response may be taken for the right one.
    """

    def __init__(self, keeps_connections: bool = True) -> None:
        self._keeps_connections = keeps_connections
        self._pools: dict[str, urllib3.PoolManager] = {}

    def request(
        self, method: str, url: str, path: str, limits: ResponseLimits, **options
    ) -> PooledResponse:
        """Send a request to ``path`` at base URL ``url``, and receive its response.

        A read timeout closes the idle connections to ``url``.

        :param limits: what the response may take.
        :param options: further arguments of urllib3's ``request``.
        :raises ResponseLimitError: if the response takes more.
        :raises urllib3.exceptions.HTTPError: if the request fails.
        """
        with self._drop_if_silent(url):
            response = self._send(method, url, path, limits, **options)
            try:
                body = read_body(response, limits)
            except BaseException:
                response.close()
                raise
            reason = (response.reason or "").encode("latin-1")
            return PooledResponse(response.status, response.headers, body, reason)

    def stream(
        self, method: str, url: str, path: str, limits: ResponseLimits, **options
    ) -> urllib3.BaseHTTPResponse:
        """Send a request, and return its response with the body still to be read.

        Whoever calls this releases the connection, or closes the response.

        :param limits: what the response may take, with its body.
        :param options: further arguments of urllib3's ``request``.
        :raises ResponseLimitError: if its head takes more.
        :raises urllib3.exceptions.HTTPError: if the request fails.
        """
        with self._drop_if_silent(url):
            return self._send(method, url, path, limits, **options)

    def _send(
        self, method: str, url: str, path: str, limits: ResponseLimits, **options
    ) -> urllib3.BaseHTTPResponse:
        with limited(limits):
            return self._pool(url).request(
                method, f"{url}{path}", preload_content=False, **options
            )

    @contextlib.contextmanager
    def _drop_if_silent(self, url: str) -> Iterator[None]:
        try:
            yield
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
            pool.pool_classes_by_scheme = {"http": LimitedConnectionPool}
            # Otherwise its connection is closed with it.
            if self._keeps_connections:
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
