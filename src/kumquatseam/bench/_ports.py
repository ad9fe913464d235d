"""Loopback ports for programs that are about to start.

A port found free may be taken before the program starts that is to use it: by
an outgoing connection, or by another run of the tests. So ports come from below
those that the system gives to connections, and each process has a block of its
own, held by a lock on a file.
"""

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

FIRST_PORT = 18_000
BLOCK_PORTS = 250
BLOCKS = 56


class _PortBlock:
    """The ports of one process, none given twice while others are left."""

    def __init__(self) -> None:
        self._ports: list[int] = []
        self._lock = None
        self._owner = 0

    def take(self) -> int:
        """Return the next port of the block."""
        if self._owner != os.getpid():
            self._claim()
        port = self._ports.pop()
        self._ports.insert(0, port)
        return port

    def _claim(self) -> None:
        """Take a block that no other process holds.

        :raises OSError: if there is none.
        """
        for block in random.sample(range(BLOCKS), BLOCKS):
            path = Path(tempfile.gettempdir()) / f"kumquatseam-ports-{block}.lock"
            lock = path.open("w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            first = FIRST_PORT + block * BLOCK_PORTS
            self._ports = list(range(first, first + BLOCK_PORTS))
            self._lock, self._owner = lock, os.getpid()
            return
        raise OSError("no block of loopback ports is free")


_block = _PortBlock()


def free_port() -> int:
    """Return a TCP port on loopback that is free and stays so.

    :raises OSError: if there is none.
    """
    for _ in range(BLOCK_PORTS):
        port = _block.take()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no port on loopback is free")
