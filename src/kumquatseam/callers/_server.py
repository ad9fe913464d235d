"""An HTTP server whose graceful shutdown does not wait for idle connections.

gevent's server waits for every open connection's handler. Callers keep
connections open between requests, so a plain stop waits out its whole
timeout for connections on which nothing happens. This server knows which
handlers are inside a request: when it drains, it ends the idle connections
and tells the callers of the busy ones that theirs closes after the answer.
"""

import contextlib
import socket

import gevent.pool
import gevent.pywsgi


class _TrackingHandler(gevent.pywsgi.WSGIHandler):
    """A connection's handler that says whether it is inside a request."""

    is_busy = False

    def handle(self):
        self.server.handlers.add(self)
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)

    def handle_one_response(self):
        self.is_busy = True
        try:
            super().handle_one_response()
        finally:
            self.is_busy = False
            if self.server.is_draining:
                self.close_connection = True

    def finalize_headers(self):
        if self.server.is_draining:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def end_if_idle(self) -> None:
        """End the connection unless a request is being served on it."""
        if not self.is_busy:
            # Reading ends; bytes that arrived before can still be read, so a
            # request that crosses the shutdown is served.
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RD)


class DrainingServer(gevent.pywsgi.WSGIServer):
    """Serves an application on a pool of handlers and drains them to stop.

    :param address: host and port.
    :param app: the WSGI application.
    """

    def __init__(self, address: tuple[str, int], app) -> None:
        # A pool, not the default spawn: only with a pool does stop() wait for
        # running handlers, which is what lets a shutdown drain.
        super().__init__(
            address,
            app,
            log=None,
            spawn=gevent.pool.Pool(),
            handler_class=_TrackingHandler,
        )
        self.handlers: set[_TrackingHandler] = set()
        self.is_draining = False

    def drain(self, timeout_s: float) -> None:
        """Stop accepting and wait for the requests being served."""
        self.is_draining = True
        self.stop_accepting()
        for handler in list(self.handlers):
            handler.end_if_idle()
        self.stop(timeout=timeout_s)
