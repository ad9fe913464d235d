"""Use of nng sockets without blocking gevent.

pynng's blocking ``recv`` is a C call that would block the whole gevent hub.
These helpers wait on the socket's receive descriptor and then read without
blocking; wake-ups may be spurious.

Any module that uses pynng must import this one before it opens a socket.
"""

import logging
import types
from collections.abc import Callable

import gevent
import gevent.monkey
import gevent.socket
import pynng
import pynng.nng

from kumquatseam.logs import part_logger

_log = part_logger("messages")


def _use_native_locks() -> None:
    """Make pynng use native thread locks instead of gevent's.

    nng calls pynng on its own threads when connections open and close. With gevent's
    locks two such threads deadlocked, and a socket that was closed at the same time
    then blocked the whole process.
    """
    native_lock = gevent.monkey.get_original("threading", "Lock")
    pynng.nng.threading = types.SimpleNamespace(Lock=native_lock)
    # Fills the logger's level cache; otherwise nng's threads would take the lock of
    # the logging module.
    logging.getLogger(pynng.nng.__name__).isEnabledFor(logging.DEBUG)


_use_native_locks()


def receive_forever(socket: pynng.Socket, handler: Callable[[bytes], None]) -> None:
    """Call ``handler`` with each message that ``socket`` receives.

    An exception of the handler is logged, and the next message is received, because
    nothing else would detect that it had ended.
    """
    descriptor = socket.recv_fd
    while True:
        gevent.socket.wait_read(descriptor)
        while True:
            try:
                data = socket.recv(block=False)
            except pynng.TryAgain:
                break
            try:
                handler(data)
            except Exception:  # noqa: BLE001 - logged; later messages are unaffected
                _log.exception("Handling a message failed; receiving continues.")


def receive_within(socket: pynng.Socket, timeout_s: float) -> bytes | None:
    """Return the next message of ``socket``, or ``None`` after the timeout."""
    with gevent.Timeout(timeout_s, False):
        while True:
            try:
                return socket.recv(block=False)
            except pynng.TryAgain:
                gevent.socket.wait_read(socket.recv_fd)
    return None
