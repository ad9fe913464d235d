"""Steps for the budget of the memory that clients make a process hold."""

import gevent
import gevent.socket
from behave import given, then, when

from kumquatseam.buffers import BufferBudget, BufferLimitError
from kumquatseam.http1 import (
    BadRequestError,
    IdleConnectionError,
    RequestLimits,
    RequestReader,
)

KB = 1000
LIMITS = RequestLimits(max_body_bytes=200 * KB)
#: until when a client is read or refused; not a bound of any check.
ENDED_S = 5.0


class Client:
    """A client and the reader of its requests.

    :param budget: the memory for all clients.
    """

    def __init__(self, budget):
        self.socket, accepted = gevent.socket.socketpair()
        self._limit_bytes = budget.limit_bytes
        self.account = budget.open_account()
        self.account.wake = self._interrupt
        self._reader = RequestReader(accepted, LIMITS, self.account)
        self.request = self.error = None
        self._reading = gevent.spawn(self._read)

    def begin(self, stated_bytes, sent_bytes):
        """Send a head, and the first part of the body that it states."""
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        self.socket.sendall(head % stated_bytes)
        self.send(sent_bytes)

    def send(self, sent_bytes):
        """Send more of the body, as far as it is taken."""
        gevent.spawn(self.socket.sendall, b"x" * sent_bytes)
        gevent.sleep(0.05)

    def wait(self):
        """Wait until its request was read or refused."""
        self._reading.join(ENDED_S)
        assert self._reading.dead, "neither read nor refused"

    def leave(self):
        """Close the connection."""
        self.socket.close()
        self.wait()
        self.account.close()

    def _read(self):
        try:
            self.request = self._reader.read()
        except (BadRequestError, IdleConnectionError) as error:
            self.error = error
            self._reader.close()

    def _interrupt(self):
        gevent.kill(self._reading, BufferLimitError(self._limit_bytes))


@given("a budget of {limit:d} KB")
def step_budget(context, limit):
    context.budget = BufferBudget(limit * KB)
    context.clients = {}


def _client(context, name):
    if name not in context.clients:
        context.clients[name] = Client(context.budget)
    return context.clients[name]


@given('client "{name}" has sent {sent:d} KB of a body of {stated:d} KB')
def step_has_sent(context, name, sent, stated):
    _client(context, name).begin(stated * KB, sent * KB)


@given('client "{name}" has sent a body of {size:d} KB')
def step_has_sent_all(context, name, size):
    _client(context, name).begin(size * KB, size * KB)
    _client(context, name).wait()


@given('client "{name}" lags behind by {lag_s:d} seconds')
def step_lags(context, name, lag_s):
    _client(context, name).account.on_time_until_s -= lag_s


@when('client "{name}" states a body of {size:d} KB')
def step_states(context, name, size):
    _client(context, name).begin(size * KB, 0)


@when('client "{name}" sends a body of {size:d} KB')
def step_sends(context, name, size):
    _client(context, name).begin(size * KB, size * KB)


@when('client "{name}" leaves')
def step_leaves(context, name):
    _client(context, name).leave()


@then('client "{name}" is read')
def step_read(context, name):
    client = _client(context, name)
    client.wait()
    assert client.request is not None, client.error


@then('client "{name}" is refused with {status:d}')
def step_refused(context, name, status):
    client = _client(context, name)
    client.wait()
    assert client.error is not None, client.request
    assert client.error.status == status, client.error


@then('client "{name}" is refused with {status:d}, and told when to come again')
def step_refused_for_now(context, name, status):
    step_refused(context, name, status)
    assert _client(context, name).error.retry_after_s > 0


@then("nothing is held")
def step_nothing(context):
    assert context.budget.used_bytes == 0, context.budget.used_bytes


@then('client "{name}" finishes its body, and is read')
def step_finishes(context, name):
    _client(context, name).send(50 * KB)
    step_read(context, name)


@then('client "{name}" still holds its body')
def step_holds(context, name):
    client = _client(context, name)
    assert client.account.held_bytes >= len(client.request.body) == 150 * KB
