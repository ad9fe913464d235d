"""Requests that wait beside each other in modelled time."""

import greenlet
from modelled_net import ModelledNet


class FiberNet(ModelledNet):
    """Datagrams and timers, and requests that run until they wait for something."""

    def __init__(self, clock, draw, codec):
        super().__init__(clock, draw, codec)
        self.main = greenlet.getcurrent()
        self.waiting = {}
        #: bytes sent and received by each address.
        self.bytes_by_address = {}
        #: addresses that nothing reaches and that reach nobody.
        self.cut = set()
        #: seconds by which what goes to an address is late.
        self.slow_s = {}

    def spawn(self, function, *arguments):
        """Run a request until it ends or waits."""
        greenlet.greenlet(function, self.main).switch(*arguments)

    def wait(self, event, timeout_s):
        if event.is_set():
            return
        current = greenlet.getcurrent()
        if current is self.main:
            super().wait(event, timeout_s)
            return
        self.waiting[current] = event
        self.call_later(timeout_s, self._resume, current, event)
        self.main.switch()

    def send(self, sender, address, message):
        if sender in self.cut or address in self.cut:
            return
        size = len(self.codec.encode(message))
        for end in (sender, address):
            self.bytes_by_address[end] = self.bytes_by_address.get(end, 0) + size
        super().send(sender, address, message)

    def _deliver(self, address, sender, data):
        late_s = self.slow_s.get(address, 0.0)
        if late_s:
            self.call_later(late_s, self._take, address, sender, data)
        else:
            self._take(address, sender, data)

    def _take(self, address, sender, data):
        super()._deliver(address, sender, data)
        for current, event in list(self.waiting.items()):
            if event.is_set():
                self._resume(current, event)

    def _resume(self, current, event):
        if self.waiting.get(current) is event:
            del self.waiting[current]
            current.switch()
