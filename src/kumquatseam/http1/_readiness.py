"""Wait until sockets can be read or written, whatever their descriptors' numbers."""

import fcntl
import termios
from collections.abc import Sequence

import gevent.select
from gevent.monkey import get_original

_native_poll = get_original("select", "poll")
_READ, _WRITE = gevent.select.POLLIN, gevent.select.POLLOUT


def wait_ready(
    readers: Sequence, writers: Sequence, timeout_s: float
) -> tuple[list, list]:
    """Return the sockets that can be read and those that can be written.

    What is ready already is found even if the time is over. Unlike ``select`` it takes
    descriptors above 1,023.

    :param readers: sockets to read from.
    :param writers: sockets to write to.
    :param timeout_s: how long to wait if none is ready; not above 0 for not at all.
    """
    masks: dict[int, int] = {}
    for socket in readers:
        masks[socket.fileno()] = _READ
    for socket in writers:
        masks[socket.fileno()] = masks.get(socket.fileno(), 0) | _WRITE
    ready = _poll(_native_poll(), masks, 0.0)
    if not ready and timeout_s > 0:
        ready = _poll(gevent.select.poll(), masks, timeout_s)
    # An error or the end of a connection is found by reading it.
    readable = [s for s in readers if ready.get(s.fileno(), 0) & ~_WRITE]
    writable = [s for s in writers if ready.get(s.fileno(), 0) & _WRITE]
    return readable, writable


def queued_bytes(connection) -> int:
    """Return how much the peer has yet to acknowledge; 0 if that is unknown."""
    try:
        answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return memoryview(answer).cast("i")[0]


def _poll(poll, masks: dict[int, int], timeout_s: float) -> dict[int, int]:
    for descriptor, mask in masks.items():
        poll.register(descriptor, mask)
    return dict(poll.poll(timeout_s * 1000.0))
