"""Datagrams and timers in modelled time."""

import heapq
import itertools

from kumquatseam.peers import DatagramLink


class ModelledNet:
    """A network with delay, loss and duplication, and a scheduler of calls.

    :param clock: modelled clock.
    :param draw: random generator for losses, duplicates and delays.
    :param codec: encodes the messages.
    """

    def __init__(self, clock, draw, codec):
        self.clock = clock
        self.draw = draw
        self.codec = codec
        #: receivers of datagrams by address.
        self.endpoints = {}
        self.scheduled = []
        self.call_numbers = itertools.count()
        #: probabilities that a datagram is lost, and sent twice.
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_s = 0.003
        self.sent = 0
        self.max_bytes = 0

    def send(self, sender, address, message):
        data = self.codec.encode(message)
        self.sent += 1
        self.note_sent(sender, address, len(data))
        self.max_bytes = max(self.max_bytes, len(data))
        for _ in range(2 if self.draw.random() < self.duplication else 1):
            if self.draw.random() >= self.loss:
                delay_s = self.draw.uniform(0.0005, self.max_delay_s)
                self.call_later(delay_s, self._deliver, address, sender, data)

    def note_sent(self, sender, address, size):
        """Called with the size of each message that is sent."""

    def call_later(self, delay_s, function, *arguments):
        due_s = self.clock() + delay_s
        heapq.heappush(
            self.scheduled, (due_s, next(self.call_numbers), function, arguments)
        )

    def run_until(self, end_s, is_done=lambda: False):
        while not is_done() and self.scheduled and self.scheduled[0][0] <= end_s:
            due_s, _, function, arguments = heapq.heappop(self.scheduled)
            self.clock.now_s = max(self.clock.now_s, due_s)
            function(*arguments)
        if not is_done():
            self.clock.now_s = max(self.clock.now_s, end_s)

    def wait(self, event, timeout_s):
        self.run_until(self.clock() + timeout_s, event.is_set)

    def _deliver(self, address, sender, data):
        endpoint = self.endpoints.get(address)
        if endpoint is not None and endpoint.is_up:
            message = self.codec.decode(data)
            endpoint.link.handlers[type(message)](message, sender)


class ModelledLink(DatagramLink):
    def __init__(self, net, address):
        self.net = net
        self.address = address
        self.handlers = {}

    def send(self, address, message):
        self.net.send(self.address, address, message)

    def on_message(self, kind, handler):
        self.handlers[kind] = handler
