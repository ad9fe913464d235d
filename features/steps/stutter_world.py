"""Senders whose requests are carried to an upstream that answers some of them twice."""

import random
import socket
import time

import gevent
import gevent.server
from late_answers_steps import (
    ID_HEADER,
    SMALL_BUFFER_BYTES,
    RecordedDirectory,
    answer_to,
    request_of,
)

from kumquatseam.gateway._tunnel_traffic import GatewayTunnelTraffic
from kumquatseam.http1 import (
    ConnectFailedError,
    ConnectionPool,
    Connector,
    RequestUnsentError,
    ResponseInterruptedError,
    SocketWait,
    UpstreamConnection,
)
from kumquatseam.peers import InstanceRecord
from kumquatseam.platform._headers import PlatformDialect
from kumquatseam.relays import NoRelayError, RelayServer
from kumquatseam.relays.client import RelayClient

SENDERS = 6
#: share of the answers that are sent twice.
COPY_SHARE = 0.4
LONG_BYTES = 60_000


class StutteringUpstream:
    """Answers each request, and some of them again later.

    :param source: decides on what it does.
    """

    def __init__(self, source):
        self._random = source
        #: ids of the requests that arrived.
        self.received = set()
        self.copies = 0
        self._server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def close(self):
        self._server.stop(timeout=0.1)

    def _serve(self, connection, _):
        copy = b""
        try:
            while head := self._read_head(connection):
                request_id = head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
                self.received.add(request_id)
                copy = self._send(connection, copy, at_end=False)
                gevent.sleep(self._random.random() * 0.01)
                copy = self._send(connection, copy, at_end=False)
                answer = answer_to(request_id, body_of(request_id))
                is_copied = self._random.random() < COPY_SHARE
                copy = copy + answer if is_copied else copy
                self.copies += is_copied
                self._pieces(connection, answer)
                copy = self._send(connection, copy, at_end=True)
        except OSError:
            return
        finally:
            connection.close()

    def _read_head(self, connection):
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            received = connection.recv(4_096)
            if not received:
                return b""
            data += received
        return data

    def _send(self, connection, copy, at_end):
        """Send a copy, maybe later; return what is left of it."""
        if not copy or self._random.random() < 0.5:
            return copy
        # A rest of a copy comes before anything else that is sent.
        cut = len(copy) if not at_end else self._random.choice((len(copy), 0))
        connection.sendall(copy[:cut])
        return copy[cut:]

    def _pieces(self, connection, data):
        cut = self._random.randrange(len(data))
        connection.sendall(data[:cut])
        if self._random.random() < 0.3:
            gevent.sleep(self._random.random() * 0.005)
        connection.sendall(data[cut:])


def body_of(request_id):
    """Return the only right answer to a request; every third one is long."""
    text = f"<{request_id}>".encode()
    is_long = int(request_id.rpartition("-")[2]) % 3 == 0
    return text * (LONG_BYTES // len(text)) if is_long else text


class _TunnelConnector(Connector):
    def __init__(self, relays):
        self._relays = relays

    def connect(self, address, timeout_s):
        opened, decoder = self._relays.open(address, timeout_s)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        return UpstreamConnection(address, opened, decoder=decoder)


class StutterWorld:
    """Carries requests of several senders while their carrier ends idle tunnels.

    :param seed: of what the upstream, the senders and the carrier do.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        self.upstream = StutteringUpstream(self._random)
        self._directory = RecordedDirectory()
        traffic = GatewayTunnelTraffic(PlatformDialect(), self._directory)
        with socket.create_server(("127.0.0.1", 0)) as holder:
            address = f"127.0.0.1:{holder.getsockname()[1]}"
        self._relay = RelayServer(
            address, 0.3, lambda a: True, lambda: True, lambda: traffic
        )
        self._relay.start()
        record = InstanceRecord("carrier", "127.0.0.1:1", "", 100.0, address)
        relays = RelayClient("me", lambda: [record])
        self._pool = ConnectionPool(1.0, _TunnelConnector(relays))
        self.answered, self.unsent, self.interrupted = set(), set(), {}
        #: what was received instead of the answer to a request.
        self.mixed = {}

    def close(self):
        self._pool.close()
        self._relay.close()
        self.upstream.close()

    def run(self, requests):
        """Send some requests by each sender."""
        ending = gevent.spawn(self._end_tunnels)
        senders = [gevent.spawn(self._send, n, requests) for n in range(SENDERS)]
        gevent.joinall(senders, raise_error=True)
        assert not ending.dead
        ending.kill()

    def _end_tunnels(self):
        while True:
            gevent.sleep(self._random.random() * 0.03)
            self._shrink_buffers()
            if self._random.random() < 0.5:
                self._relay.end_as_idle()
                continue
            self._directory.closed_for_s = 0.01
            self._relay.end_idle(self.upstream.address, 0.01)
            gevent.sleep(self._random.random() * 0.01)
            self._directory.closed_for_s = 0.0

    def _shrink_buffers(self):
        for tunnel in list(self._relay._load_carrier().tunnels):
            try:
                tunnel._connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
                )
            except OSError:
                # It is closed already.
                continue

    def _send(self, sender, requests):
        for number in range(requests):
            gevent.sleep(self._random.random() * 0.005)
            request_id = f"s{sender}-{number}"
            address = self.upstream.address
            try:
                connection = self._pool.acquire(address, 1.0, request_id)
            except (ConnectFailedError, NoRelayError):
                continue
            try:
                self._exchange(connection, request_id)
            except RequestUnsentError:
                self.unsent.add(request_id)
                connection.close()
            except ResponseInterruptedError as error:
                self.interrupted[request_id] = str(error)
                connection.close()

    def _exchange(self, connection, request_id):
        connection.send(request_of(request_id))
        wait = SocketWait(time.monotonic() + 20.0, connection.address)
        connection.read_head(request_id, ID_HEADER, wait)
        body = b""
        while data := connection.read_body(wait):
            body += data
            if not body_of(request_id).startswith(body):
                self.mixed[request_id] = body[-60:]
            if self._random.random() < 0.05:
                gevent.sleep(0.002)
        if body != body_of(request_id):
            self.mixed[request_id] = body[-60:]
        self.answered.add(request_id)
        self._pool.release(connection, 3.0)
