"""Waiting on nng sockets without stalling gevent.

pynng's blocking ``recv`` is a C call that would stall the whole gevent hub.
These helpers wait on the socket's receive descriptor and then read without
blocking; a wake-up may be spurious.
"""

from collections.abc import Callable

import gevent
import gevent.socket
import pynng


def receive_forever(socket: pynng.Socket, handler: Callable[[bytes], None]) -> None:
    """Call ``handler`` with every message ``socket`` receives."""
    descriptor = socket.recv_fd
    while True:
        gevent.socket.wait_read(descriptor)
        while True:
            try:
                data = socket.recv(block=False)
            except pynng.TryAgain:
                break
            handler(data)


def receive_within(socket: pynng.Socket, timeout_s: float) -> bytes | None:
    """Return the next message of ``socket``, or ``None`` after the timeout."""
    with gevent.Timeout(timeout_s, False):
        while True:
            try:
                return socket.recv(block=False)
            except pynng.TryAgain:
                gevent.socket.wait_read(socket.recv_fd)
    return None
