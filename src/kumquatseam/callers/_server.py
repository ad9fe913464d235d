"""An HTTP server whose graceful shutdown does not wait for idle connections.

gevent's server waits for the handler of every open connection. Callers keep
connections open between requests, so a plain ``stop`` would wait for its whole
timeout on idle connections. This server tracks which handlers are processing a
request. When it drains, it closes idle connections and sends ``Connection: close``
with the responses on busy ones.
"""

import contextlib
import socket

import gevent.pool
import gevent.pywsgi
from urllib3.exceptions import HeaderParsingError
from urllib3.util.response import assert_header_parsing

from kumquatseam.response_limits import LineReader


def _read_fields(reader: LineReader, *_):
    """Read the fields of a head; their ``status`` tells what is wrong with them.

    The server would skip what is no field, and of several lengths use the first.
    """
    fields = gevent.pywsgi.headers_factory(reader)
    lengths = fields.get_all("Content-Length", [])
    codings = fields.get_all("Transfer-Encoding", [])
    is_clear = len(lengths) + len(codings) <= 1
    is_clear &= all(length.strip().isdecimal() for length in lengths)
    is_clear &= all(coding.lower() == "chunked" for coding in codings)
    if not is_clear:
        fields.status = "Length of the body not clear"
    try:
        assert_header_parsing(fields)
    except HeaderParsingError:
        fields.status = "Not a field"
    return fields


class _TrackingHandler(gevent.pywsgi.WSGIHandler):
    """A connection handler that tracks whether it is processing a request."""

    MessageClass = staticmethod(_read_fields)
    is_busy = False

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        # Nothing is buffered yet.
        self.rfile = LineReader(self.rfile.detach(), 8192)

    def read_request(self, raw_requestline: str) -> bool:
        try:
            return super().read_request(raw_requestline)
        except ConnectionError:
            return False

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

    def close_if_idle(self) -> None:
        """Shut down reading unless a request is being served on the connection."""
        if not self.is_busy:
            # Bytes received before the shutdown can still be read, so a request
            # that arrives at the same moment is served.
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RD)


class DrainingServer(gevent.pywsgi.WSGIServer):
    """WSGI server that drains its handlers when it stops.

    :param address: host and port.
    :param app: the WSGI application.
    """

    def __init__(self, address: tuple[str, int], app) -> None:
        # stop() waits for running handlers only if they run in a pool.
        super().__init__(
            address,
            app,
            log=None,
            spawn=gevent.pool.Pool(),
            handler_class=_TrackingHandler,
        )
        self.handlers: set[_TrackingHandler] = set()
        self.is_draining = False

    def drain(self, timeout_s: float) -> int:
        """Stop accepting connections and wait for running requests.

        :returns: how many requests were cut since they took longer.
        """
        self.is_draining = True
        self.stop_accepting()
        for handler in list(self.handlers):
            handler.close_if_idle()
        self.pool.join(timeout=timeout_s)
        cut = sum(handler.is_busy for handler in self.handlers)
        self.stop(timeout=0)
        return cut
