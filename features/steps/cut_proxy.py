"""A loopback proxy that cuts chosen processes from what it stands for."""

import os
import socket
import struct
import threading
import time
from pathlib import Path

_POLL_S = 0.02
#: how a process is cut, by what happens to its connections.
SILENT = "open connections fall silent"
RESET = "all connections are reset"
LIVE_ON = "open connections live on and new ones are reset"


class CutProxy:
    """Forwards connections to an address.

    :param target: ``host:port``.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        #: how processes are cut, by process id.
        self.cuts = {}
        #: the process behind each connection to the target, by its local port.
        self.owners = {}
        #: when connections came, and how long the proxy took to find whose they are.
        self.delays = []
        #: number of connections opened, by process id.
        self.opened = {}
        #: the processes to tell apart.
        self.pids = []
        self._open = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self._port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, pid, how):
        self.cuts[pid] = how
        if how == RESET:
            for link in list(self._open):
                if link.pid == pid:
                    link.reset()

    def heal(self):
        self.cuts.clear()

    def close(self):
        self._listener.close()
        for link in list(self._open):
            link.reset()

    def _accept(self):
        while True:
            try:
                client, (_, port) = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client, port)).start()

    def _serve(self, client, port):
        came_s = time.monotonic()
        pid = _process_of(port, self._port, self.pids)
        self.delays.append((came_s, time.monotonic() - came_s))
        self.opened[pid] = self.opened.get(pid, 0) + 1
        if self.cuts.get(pid) in (RESET, LIVE_ON):
            _reset(client)
            return
        try:
            upstream = socket.create_connection(self.target, 2)
        except OSError:
            _reset(client)
            return
        upstream.settimeout(None)
        self.owners[upstream.getsockname()[1]] = pid
        link = _Link(pid, client, upstream)
        self._open.append(link)
        backward = threading.Thread(target=self._copy, args=(link, upstream, client))
        backward.start()
        self._copy(link, client, upstream)
        backward.join()
        self._open.remove(link)
        client.close()
        upstream.close()

    def _copy(self, link, source, target):
        try:
            while True:
                data = source.recv(65_536)
                while self.cuts.get(link.pid) == SILENT:
                    time.sleep(_POLL_S)
                if not data:
                    break
                target.sendall(data)
            if not link.is_reset:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            link.reset()


class _Link:
    """Two connections that a proxy joins, for a process."""

    def __init__(self, pid, client, upstream):
        self.pid = pid
        self.ends = (client, upstream)
        self.is_reset = False

    def reset(self):
        """Reset both, without an ordinary end before, which could end an answer."""
        self.is_reset = True
        for end in self.ends:
            _reset(end)


def _reset(connection):
    linger = struct.pack("ii", 1, 0)
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        # Wakes who reads from it, and sends nothing.
        connection.shutdown(socket.SHUT_RD)
        connection.close()
    except OSError:
        return


def _process_of(port, own_port, pids):
    """Return the id of the process whose connection comes from a loopback port."""
    local = f"0100007F:{port:04X}"
    remote = f"0100007F:{own_port:04X}"
    for _ in range(5):
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1] == local and fields[2] == remote and fields[9] != "0":
                return _holder_of(f"socket:[{fields[9]}]", pids)
        time.sleep(0.005)
    return None


def _holder_of(link, pids):
    for pid in pids:
        try:
            entries = os.listdir(f"/proc/{pid}/fd")
        except FileNotFoundError:
            # It has ended.
            continue
        for entry in entries:
            try:
                if os.readlink(f"/proc/{pid}/fd/{entry}") == link:
                    return pid
            except OSError:
                continue
    return None
