"""Accept callers' connections, and close them gracefully on shutdown."""

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
import gevent.socket

from kumquatseam.buffers import BufferAccount, BufferBudget, BufferLimitError
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._connection_admission import ConnectionAdmission
from kumquatseam.gateway._connection_handler import ConnectionHandler
from kumquatseam.http1 import (
    BadRequestError,
    CallerDisconnectedError,
    IdleConnectionError,
    RequestLimits,
    RequestReader,
)
from kumquatseam.logs import part_logger
from kumquatseam.pools import dead_peer_socket_options

if TYPE_CHECKING:
    from kumquatseam.gateway._connection_places import ConnectionPlaces

_log = part_logger("server")

#: length of the kernel's accept queue, for bursts of connections.
BACKLOG = 1024
#: what a connection takes without a request.
CONNECTION_BYTES = 12_288
#: when what only a stop needs is loaded: after the start, which it would prolong.
LOAD_STOP_AFTER_S = 2.0


class GatewayServer:
    """Serves callers on one address.

    :param address: ``host:port``.
    :param handler: serves one request.
    :param read_limits: returns the current limits.
    :param grace_s: maximum duration of a shutdown.
    :param admission: decides which new connections are served.
    :param buffers: memory that callers make this process hold; not limited by default.
    """

    def __init__(
        self,
        address: str,
        handler: ConnectionHandler,
        read_limits: Callable[[], RequestLimits],
        grace_s: float,
        admission: ConnectionAdmission,
        buffers: BufferBudget | None = None,
    ) -> None:
        self._admission = admission
        self.buffers = buffers or BufferBudget()
        self._address = address
        self._handler = handler
        #: begun when a stop is requested.
        self.stop_clock = handler.stop_clock
        self._read_limits = read_limits
        self._grace_s = grace_s
        self._listener: socket.socket | None = None
        self._accepting: gevent.Greenlet | None = None
        self._readers: dict[gevent.Greenlet, RequestReader] = {}
        self._busy: set[gevent.Greenlet] = set()
        #: loaded when all places are first taken.
        self.places: ConnectionPlaces | None = None
        self._open_count = 0
        self.accepted = 0

    def start(self) -> None:
        """Listen and accept connections."""
        host, _, port = self._address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = gevent.socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        self._listener = listener
        self._accepting = gevent.spawn(self._accept_forever)
        # By the stop, descriptors may be used up, or the package replaced.
        gevent.spawn_later(LOAD_STOP_AFTER_S, self._load_stop)

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return self._listener.getsockname()[1]

    @property
    def turned_away(self) -> int:
        """The number of connections that were closed unread."""
        return self._admission.turned_away

    @property
    def is_accepting(self) -> bool:
        """Whether callers may connect, and no stop was requested."""
        return self._listener is not None and not self.is_stopping

    @property
    def is_stopping(self) -> bool:
        """Whether a stop was requested."""
        return self.stop_clock.is_stopping

    @property
    def open_greenlets(self) -> list[gevent.Greenlet]:
        """What serves the open connections."""
        return list(self._readers)

    @property
    def busy_count(self) -> int:
        """The number of requests that are being served."""
        return len(self._busy)

    @staticmethod
    def _load_stop() -> "Callable[[GatewayServer, float], None]":
        """Return what stops a server gracefully."""
        from kumquatseam.gateway._server_stop import stop_server

        return stop_server

    def close(self) -> None:
        """Stop gracefully: finish requests already read, within the grace period."""
        self._load_stop()(self, self._grace_s)

    def stop_accepting(self) -> None:
        """Accept no further connections."""
        if self._accepting is not None:
            self._accepting.kill()
            self._admission.close()
            self._accepting = None
            self._listener.close()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        loop = gevent.get_hub().loop
        for greenlet, reader in list(self._readers.items()):
            loop.run_callback(self._close_if_idle, greenlet, reader)

    def _close_if_idle(self, greenlet: gevent.Greenlet, reader: RequestReader) -> None:
        """Close a connection that waits for a request; called by the event loop.

        The check and the close are one step. A scheduled exception would reach the
        greenlet later, possibly during a request that arrived meanwhile, and the
        caller would get no response at all.
        """
        is_idle = greenlet not in self._busy and not reader.is_reading
        if is_idle and not greenlet.dead and not reader.is_in_use():
            greenlet.throw(IdleConnectionError())

    def _accept_forever(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError as error:
                _log.bind(error=repr(error)).warning("Cannot accept a connection.")
                gevent.sleep(0.01)
                continue
            if not self._may_serve():
                connection.close()
                continue
            self.accepted += 1
            self._open_count += 1
            account = self.buffers.open_account(CONNECTION_BYTES)
            gevent.spawn(self._serve_connection, connection, account)

    def _may_serve(self) -> bool:
        """Return whether a new connection is served; an idle one may give way to it."""
        if not self._admission.admit(self._open_count, self._free_place):
            return False
        return self.buffers.may_open(CONNECTION_BYTES) or self._free_place()

    def _free_place(self) -> bool:
        """Begin to close an idle connection; return whether there is one."""
        if self.places is None:
            from kumquatseam.gateway._connection_places import ConnectionPlaces

            self.places = ConnectionPlaces(self._readers)
        if len(self._readers) < self._open_count:
            # Those that were accepted in this turn of the loop have not begun to wait.
            gevent.sleep(0)
        return self.places.free_one()

    def _serve_connection(self, connection, account: BufferAccount) -> None:
        try:
            for option in dead_peer_socket_options():
                connection.setsockopt(*option)
            # It also ends connections whose callers receive slowly: their window stays
            # too small for what is next. Dead ones are found by keep-alive, or when
            # nothing more can be written.
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
            self._serve_requests(connection, account)
        finally:
            self._open_count -= 1
            account.close()
            connection.close()

    def _serve_requests(self, connection, account: BufferAccount) -> None:
        """Serve the requests on a connection until it ends."""
        greenlet = gevent.getcurrent()
        account.wake = lambda: self._evict(greenlet, account)
        reader = RequestReader(connection, self._read_limits(), account)
        self._readers[greenlet] = reader
        caller = CallerConnection(connection, account)
        bad_request = None
        try:
            try:
                while self._serve_next(greenlet, reader, caller):
                    reader.set_limits(self._read_limits())
            except BadRequestError as error:
                bad_request = error
            except IdleConnectionError:
                # Its caller may still receive the last response.
                pass
            # What still arrives is read, so the connection is not idle.
            reader.is_reading = True
            reader.close()
            account.begin_transfer()
            # Loaded when first needed.
            from kumquatseam.gateway._connection_end import end_connection

            end_connection(caller, bad_request, self._handler.describe)
        except (IdleConnectionError, CallerDisconnectedError, BufferLimitError):
            # Normal ends of a connection; a request in progress logs its own end.
            pass
        finally:
            self._readers.pop(greenlet, None)

    def _evict(self, greenlet: gevent.Greenlet, account: BufferAccount) -> None:
        """End a connection that waits for its caller, in the event loop's next turn."""

        def end() -> None:
            if account.on_time_until_s is not None and not greenlet.dead:
                greenlet.throw(BufferLimitError(self.buffers.limit_bytes))

        gevent.get_hub().loop.run_callback(end)

    def _serve_next(
        self, greenlet: gevent.Greenlet, reader: RequestReader, caller: CallerConnection
    ) -> bool:
        """Serve one request; return whether the connection may carry another."""
        # Before the request is read: one that is invalid gets a response too.
        caller.reset_response()
        request = reader.read()
        account = caller.account
        held_bytes = account.held_bytes
        self._busy.add(greenlet)
        try:
            can_reuse = self._handler.handle(request, caller, self._may_keep(request))
        finally:
            self._busy.discard(greenlet)
            # What serving it took on top.
            account.give_back(account.held_bytes - held_bytes)
        # A response that was begun before a stop did not announce a close.
        return can_reuse and request.keep_alive

    def _may_keep(self, request) -> Callable[[], bool]:
        return lambda: request.keep_alive and not self.is_stopping
