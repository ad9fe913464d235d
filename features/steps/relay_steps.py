"""Steps for tunnels through another instance."""

import socket
import struct

import gevent
import gevent.socket
from behave import given, then, when
from modelled_clock import Clock

from kumquatseam.http1 import ConnectFailedError
from kumquatseam.relays import DirectPath, RelayingConnector, RelayServer
from kumquatseam.relays import _server as server_module


class EchoUpstream:
    """An upstream that holds its connections open.

    :param response: sent on each connection, if given.
    """

    def __init__(self, response=b""):
        self.response = response
        self.listener = gevent.socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections = []
        self.accepting = gevent.spawn(self._accept)

    def _accept(self):
        while True:
            connection, _ = self.listener.accept()
            self.connections.append(connection)
            if self.response:
                connection.sendall(self.response)

    def close(self):
        self.accepting.kill()
        self.listener.close()


@given("a relay that {state}")
def step_relay(context, state):
    context.upstream = EchoUpstream()
    ended = EchoUpstream()
    ended.close()
    context.targets = {
        "a listed upstream": context.upstream.address,
        "an unlisted address": "127.0.0.1:9",
        "an upstream that ended": ended.address,
    }
    listed = {context.upstream.address, ended.address}
    port_holder = gevent.socket.socket()
    port_holder.bind(("127.0.0.1", 0))
    context.relay_address = f"127.0.0.1:{port_holder.getsockname()[1]}"
    port_holder.close()
    context.relay = RelayServer(
        context.relay_address, 0.3, listed.__contains__, lambda: state != "has no path"
    )
    if state == "has all tunnels in use":
        context.relay.open_tunnels = server_module.MAX_TUNNELS
    context.relay.start()


def _connect(context, target):
    host, _, port = context.relay_address.rpartition(":")
    connection = gevent.socket.create_connection((host, int(port)), 1.0)
    connection.sendall(f"CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n".encode())
    context.answer = connection.recv(1_000)
    return connection


@when("another instance asks it for a tunnel to {target}")
def step_ask(context, target):
    _connect(context, context.targets[target]).close()


@then("the relay answers {status:d}")
def step_relay_answers(context, status):
    context.relay.close()
    context.upstream.close()
    assert context.answer.startswith(b"HTTP/1.1 %d " % status), context.answer


@when("a tunnel to an upstream is open and its client closes it")
def step_client_closes(context):
    connection = _connect(context, context.upstream.address)
    connection.sendall(b"question")
    connection.close()


@then("the upstream sees the connection end")
def step_upstream_sees_end(context):
    (upstream,) = context.upstream.connections
    upstream.settimeout(1.0)
    data = b""
    while received := upstream.recv(100):
        data += received
    context.relay.close()
    context.upstream.close()
    assert data == b"question", data


@when("a tunnel to an upstream is open and the upstream resets it")
def step_upstream_resets(context):
    context.client = _connect(context, context.upstream.address)
    gevent.sleep(0.05)
    (upstream,) = context.upstream.connections
    upstream.sendall(b"part")
    gevent.sleep(0.05)
    linger = struct.pack("ii", 1, 0)
    upstream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    upstream.close()


@then("the client sees a reset")
def step_client_sees_reset(context):
    context.client.settimeout(1.0)
    data = b""
    try:
        while received := context.client.recv(100):
            data += received
        error = None
    except ConnectionResetError as reset:
        error = reset
    context.relay.close()
    context.upstream.close()
    assert isinstance(error, ConnectionResetError), data


# Telling a lost path from upstreams that ended.


class ScriptedRelays:
    """Relays that cannot connect to any upstream."""

    def __init__(self):
        self.asked = 0

    def open(self, address, timeout_s):
        self.asked += 1
        raise ConnectFailedError(address, "refused")


@given("an instance with {count:d} upstreams")
def step_instance(context, count):
    context.clock = Clock()
    context.path = DirectPath(lambda: count, context.clock)
    context.addresses = [f"127.0.0.1:{number}" for number in range(1, count + 1)]


@when("{count:d} of them cannot be connected to")
def step_cannot_connect(context, count):
    for address in context.addresses[:count]:
        context.path.note_failed(address)


@when("{count:d} of them cannot be connected to, but a peer cannot connect either")
def step_nobody_connects(context, count):
    connector = RelayingConnector(
        context.path, ScriptedRelays(), lambda: context.addresses
    )
    for address in context.addresses[:count]:
        try:
            connector.connect(address, 0.2)
        except ConnectFailedError:
            continue


@when("one of them is silent for {for_s:d} seconds while another one responds")
def step_one_silent(context, for_s):
    silent, other = object(), object()
    context.path.note_sent(silent, context.addresses[0])
    for _ in range(for_s * 5):
        context.path.note_sent(other, context.addresses[1])
        context.clock.now_s += 0.2
        context.path.note_received(other, is_first=False)


@given("an instance with {count:d} upstreams that ended, and one that responds")
def step_some_ended(context, count):
    context.ended = []
    for _ in range(count):
        upstream = EchoUpstream()
        upstream.close()
        context.ended.append(upstream.address)
    context.upstream = EchoUpstream(response=b"HTTP/1.1 400 Bad Request\r\n\r\n")
    addresses = [*context.ended, context.upstream.address]
    context.path = DirectPath(lambda: len(addresses))
    context.relays = ScriptedRelays()
    context.connector = RelayingConnector(
        context.path, context.relays, lambda: addresses
    )


@when("it connects to those that ended, three times")
def step_connect_to_ended(context):
    for address in context.ended * 3:
        try:
            context.connector.connect(address, 0.2)
        except ConnectFailedError:
            continue


@then("no other instance was asked for a tunnel")
def step_no_detour(context):
    context.upstream.close()
    assert context.relays.asked == 0, context.relays.asked


@then("its path is not suspected")
def step_not_suspected(context):
    assert not context.path.is_suspect


@then("its path does not count as lost")
def step_not_lost(context):
    assert not context.path.is_lost
