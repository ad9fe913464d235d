"""The server of the caller interface: a WSGI application behind limits.

Connections are those of :class:`~kumquatseam.gateway.GatewayServer`, which bounds what
all callers together make this process hold; a WSGI server of a library bounds neither
the size of a request nor the time that it takes.
"""

import time

import gevent

from kumquatseam.callers._wsgi import WsgiHandler
from kumquatseam.gateway import CallerBuffers, ConnectionAdmission, GatewayServer
from kumquatseam.http1 import RequestLimits
from kumquatseam.settings import CallerSettings

#: what a completion takes, as a multiple of its body: its text, the request to an
#: engine, and the keys of its blocks.
COMPLETION_COPIES = 4
#: seconds between two looks at the connections that are still open.
_DRAIN_POLL_S = 0.02
#: how long what is cut at the end may take to let go.
_KILL_TIMEOUT_S = 0.1


class CallerServer:
    """Serves a WSGI application to callers.

    :param address: ``host:port`` to listen on.
    :param app: the application; it may use the keys of ``environ`` that
        :mod:`kumquatseam.callers._wsgi` names.
    :param settings: limits on what callers send and hold.
    """

    def __init__(self, address: str, app, settings: CallerSettings) -> None:
        limits = RequestLimits(
            settings.max_header_bytes,
            settings.max_body_bytes,
            settings.header_timeout_s,
            settings.idle_timeout_s,
            settings.body_timeout_s,
        )
        self._buffers = CallerBuffers(
            settings.memory_mb, lambda: COMPLETION_COPIES * limits.max_request_bytes
        )
        # A router stands alone in small deployments: a new connection waits while it
        # is busy, since there may be no other instance to try.
        admission = ConnectionAdmission(None, settings.max_descriptors)
        self._server = GatewayServer(
            address,
            WsgiHandler(app),
            lambda: limits,
            0.0,
            admission,
            self._buffers.budget,
        )

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return self._server.port

    def read_buffers(self) -> dict[str, int]:
        """Return what callers make this process hold, and what that cost some."""
        budget = self._buffers.budget
        return {
            "held_bytes": budget.used_bytes,
            "limit_bytes": budget.limit_bytes,
            "evicted": budget.evicted,
            "refused": budget.refused,
        }

    def start(self) -> None:
        """Listen and accept connections."""
        self._buffers.start()
        self._server.start()

    def close(self) -> None:
        """Stop at once."""
        self.drain(0.0)

    def drain(self, timeout_s: float) -> int:
        """Stop accepting connections and wait for running requests.

        Idle connections are closed, and responses announce the close of the others.

        :returns: how many requests were cut since they took longer.
        """
        server = self._server
        server.stop_clock.begin(time.monotonic() + timeout_s)
        server.stop_accepting()
        while server.stop_clock.left_s > 0:
            server.close_idle()
            gevent.sleep(_DRAIN_POLL_S)
            if not server.open_greenlets:
                break
        cut = server.busy_count
        left = server.open_greenlets
        gevent.killall(left, block=False)
        gevent.joinall(left, timeout=_KILL_TIMEOUT_S)
        self._buffers.close()
        return cut
