"""End a caller's connection once the caller has received its last response."""

import contextlib
import socket
import time
from collections.abc import Callable

import gevent.socket

from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.http1 import (
    BadRequestError,
    CallerDisconnectedError,
    queued_bytes,
)
from kumquatseam.logs import part_logger

_log = part_logger("server")

#: how long a caller may take to receive the rest of a response; as long as it may
#: pause while one is sent. The system sends the rest afterwards too, as long as the
#: caller sends nothing.
LINGER_S = 5.0
#: how long a caller that has received all, and still sends, may take to close.
CLOSE_WAIT_S = 0.5
#: what is discarded of a caller that still sends: several of its largest requests.
MAX_DISCARDED_BYTES = 4_194_304
#: seconds between two looks at what the caller has acknowledged.
_POLL_S = 0.02
_READ_BYTES = 65_536
#: the end of a connection counts as one byte until it is acknowledged.
_END_BYTES = 1


def end_connection(
    caller: CallerConnection,
    bad_request: BadRequestError | None,
    describe: Callable[[BadRequestError], tuple[list[tuple[bytes, bytes]], bytes]],
) -> None:
    """End the sending side; return once the connection may be closed.

    A close resets a connection that holds unread bytes, and one whose caller sends more
    afterwards; what is on its way to the caller is lost then. So what still arrives is
    discarded until the caller has acknowledged all, or closed its connection. It takes
    no time if the caller has acknowledged all and sent nothing.

    :param bad_request: why what the caller sends is no request; it gets a response.
    :param describe: returns header fields and body of that response.
    :raises CallerDisconnectedError: if that cannot be sent.
    """
    if bad_request is not None:
        _refuse(caller, bad_request, *describe(bad_request))
    try:
        caller.socket.shutdown(socket.SHUT_WR)
        _discard(caller.socket, is_sending=bad_request is not None)
    except OSError:
        # The connection has ended.
        return


def _refuse(
    caller: CallerConnection,
    error: BadRequestError,
    fields: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    _log.bind(status=error.status, detail=error.detail).info("Bad request.")
    fields = [*fields, (b"Connection", b"close")]
    if error.retry_after_s is not None:
        fields.append((b"Retry-After", b"%.2f" % error.retry_after_s))
    try:
        caller.send_response(error.status, fields, body)
    except CallerDisconnectedError as disconnect:
        _log.bind(detail=repr(disconnect)).info(
            "The caller disconnected before it received the error response."
        )
        raise


def _discard(connection, is_sending: bool) -> None:
    """Discard what arrives until the caller has received all.

    :param is_sending: whether the caller is known to send still.
    """
    end_s = time.monotonic() + LINGER_S
    left_bytes = MAX_DISCARDED_BYTES
    while left_bytes > 0 and (now_s := time.monotonic()) < end_s:
        try:
            data = connection._sock.recv(_READ_BYTES)
        except BlockingIOError:
            data = None
        if data == b"":
            return
        if data is not None:
            left_bytes -= len(data)
            is_sending = True
            # Not kept while more is awaited.
            del data
        if queued_bytes(connection) <= _END_BYTES:
            if not is_sending:
                return
            end_s = min(end_s, now_s + CLOSE_WAIT_S)
        with contextlib.suppress(TimeoutError):
            gevent.socket.wait_read(connection.fileno(), _POLL_S)
