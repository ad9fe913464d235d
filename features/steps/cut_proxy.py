"""A loopback proxy that cuts chosen processes from what it stands for."""

import os
import socket
import struct
import threading
import time

_POLL_S = 0.02
#: from linux/netlink.h and linux/sock_diag.h.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
#: where an answer holds the number of the socket: behind the message's head, at the
#: field ``idiag_inode`` of ``struct inet_diag_msg``.
_INODE_AT = 16 + 68
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
        pid = _HOLDERS.find(port, self._port, self.pids)
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


class _Holders:
    """Knows which processes hold the other ends of connections."""

    def __init__(self):
        self._pids = {}
        self._lock = threading.Lock()

    def find(self, port, own_port, pids):
        """Return the id of the process whose connection comes from a loopback port.

        :param own_port: the port that it goes to.
        :param pids: the processes to tell apart; ``None`` is returned for any other.
        """
        for _ in range(5):
            inode = _inode_of(port, own_port)
            if inode:
                return self._holder_of(inode, pids)
            time.sleep(0.005)
        return None

    def _holder_of(self, inode, pids):
        # Numbers of sockets are not used again soon. Who comes while another looks
        # through the processes finds what that one found, as a rule.
        with self._lock:
            if inode not in self._pids:
                self._pids = dict(_sockets_of(pids))
            return self._pids.get(inode)


_HOLDERS = _Holders()


def _inode_of(port, own_port):
    """Return the number of a connected loopback socket; 0 if there is none.

    The kernel is asked for this one. Its list of all of them, in /proc/net/tcp, has
    thousands of lines beside other tests, and takes 10 ms and more to write.
    """
    address = socket.inet_aton("127.0.0.1") + bytes(12)
    ends = struct.pack("!HH", port, own_port) + address * 2 + bytes(4) + b"\xff" * 8
    request = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0xFFFFFFFF)
    request += ends
    head = struct.pack(
        "=IHHII", 16 + len(request), _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as kernel:
        kernel.send(head + request)
        answer = kernel.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != _SOCK_DIAG_BY_FAMILY:
        # There is no such connection any more.
        return 0
    return struct.unpack_from("=I", answer, _INODE_AT)[0]


def _sockets_of(pids):
    """Yield the numbers of the sockets of processes, with their process ids."""
    for pid in pids:
        try:
            entries = os.listdir(f"/proc/{pid}/fd")
        except FileNotFoundError:
            # It has ended.
            continue
        for entry in entries:
            try:
                link = os.readlink(f"/proc/{pid}/fd/{entry}")
            except OSError:
                continue
            if link.startswith("socket:["):
                yield int(link[8:-1]), pid
