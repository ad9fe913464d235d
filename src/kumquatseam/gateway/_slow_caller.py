"""Send to a caller that receives slowly; loaded with the first one."""

import gevent

from kumquatseam.buffers import BufferAccount
from kumquatseam.gateway._caller import send_pieces
from kumquatseam.http1 import queued_bytes

#: a caller that accepts no bytes for this long counts as disconnected; twice the
#: longest pause that clients accept themselves.
WRITE_TIMEOUT_S = 5.0


def send_when_ready(
    connection, account: BufferAccount, pieces: list[memoryview]
) -> int:
    """Send what the system takes, once it takes more; return how much.

    :param connection: the caller's socket.
    :param account: the memory that the caller makes this process hold.
    :raises TimeoutError: if the caller receives nothing for ``WRITE_TIMEOUT_S``.
    :raises BufferLimitError: if it is too slow while buffers are full.
    """
    unsent_bytes = sum(map(len, pieces))
    account.begin_transfer()
    try:
        account.take_over_limit(unsent_bytes)
        return _wait_and_send(connection, pieces)
    finally:
        account.end_transfer()
        account.give_back(unsent_bytes)


def _wait_and_send(connection, pieces: list[memoryview]) -> int:
    """Send once the system takes more.

    A full buffer takes more only once much of it has been received, so a caller has to
    receive some of it in time, not make room.
    """
    queued = queued_bytes(connection)
    while True:
        try:
            with gevent.Timeout(WRITE_TIMEOUT_S, TimeoutError):
                return send_pieces(connection, pieces)
        except TimeoutError:
            before, queued = queued, queued_bytes(connection)
            if queued == before:
                raise
