"""Concurrent requests in modelled time."""

import greenlet
from modelled_net import ModelledNet


class FiberNet(ModelledNet):
    """A modelled network with requests that run as greenlets until they wait."""

    def __init__(self, clock, draw, codec):
        super().__init__(clock, draw, codec)
        self.main = greenlet.getcurrent()
        self.awaited_events = {}
        #: bytes sent and received by each address.
        self.bytes_by_address = {}
        #: addresses that can neither send nor receive.
        self.unreachable = set()
        #: extra delay of datagrams to an address.
        self.extra_delay_s = {}

    def spawn(self, function, *arguments):
        """Run a request until it ends or waits for an event."""
        greenlet.greenlet(function, self.main).switch(*arguments)

    def wait(self, event, timeout_s):
        if event.is_set():
            return
        current = greenlet.getcurrent()
        if current is self.main:
            super().wait(event, timeout_s)
            return
        self.awaited_events[current] = event
        self.call_later(timeout_s, self._resume, current, event)
        self.main.switch()

    def send(self, sender, address, message):
        if sender in self.unreachable or address in self.unreachable:
            return
        super().send(sender, address, message)

    def note_sent(self, sender, address, size):
        for end in (sender, address):
            self.bytes_by_address[end] = self.bytes_by_address.get(end, 0) + size

    def _deliver(self, address, sender, data):
        extra_s = self.extra_delay_s.get(address, 0.0)
        if extra_s:
            self.call_later(extra_s, self._deliver_now, address, sender, data)
        else:
            self._deliver_now(address, sender, data)

    def _deliver_now(self, address, sender, data):
        super()._deliver(address, sender, data)
        for current, event in list(self.awaited_events.items()):
            if event.is_set():
                self._resume(current, event)

    def _resume(self, current, event):
        if self.awaited_events.get(current) is event:
            del self.awaited_events[current]
            current.switch()
