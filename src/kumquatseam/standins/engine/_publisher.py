"""Publishes cache events late and with gaps, and load with a lag, over nng."""

import collections
import random
import time

import gevent
import pynng

from kumquatseam.engines import (
    CacheEventBatch,
    LoadReport,
    encode_message,
)
from kumquatseam.standins.engine._cache import CacheChange


class EventPublisher:
    """Batches cache changes and load samples and publishes them late.

    :param engine: the engine's name.
    :param epoch: the engine's life.
    :param address: nng address to listen on, e.g. ``tcp://127.0.0.1:8601``.
    :param interval_s: seconds between two batches.
    :param delay_s: a change is published no sooner than this after it happened.
    :param loss_ratio: share of batches dropped on purpose (0 to 1).
    :param load_lag_s: the load published is the one of this long ago.
    :param rng: the engine's seeded random source.
    :param sample_load: returns ``(running, waiting, cache_usage_ratio)`` now.
    :param read_named: returns the weights it runs, its role and its software.
    """

    def __init__(
        self,
        engine,
        epoch,
        address,
        interval_s,
        delay_s,
        loss_ratio,
        load_lag_s,
        rng: random.Random,
        sample_load,
        read_named,
    ) -> None:
        self._engine = engine
        self._epoch = epoch
        self._address = address
        self._interval_s = interval_s
        self._delay_s = delay_s
        self._loss_ratio = loss_ratio
        self._load_lag_s = load_lag_s
        self._rng = rng
        self._sample_load = sample_load
        self._read_named = read_named
        self._pending: collections.deque = collections.deque()
        self._loads: collections.deque = collections.deque()
        self._sequence = 0
        self.sent_batches = 0
        self.dropped_batches = 0
        self._socket: pynng.Pub0 | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Listen and begin publishing."""
        self._socket = pynng.Pub0(listen=self._address)
        self._greenlet = gevent.spawn(self._publish_forever)

    def close(self) -> None:
        """Stop publishing and close the socket."""
        if self._greenlet is not None:
            self._greenlet.kill()
        if self._socket is not None:
            self._socket.close()

    def record(self, change: CacheChange) -> None:
        """Queue a cache change for a later batch."""
        if change.stored_keys or change.removed_keys:
            self._pending.append((time.monotonic(), change))

    def _publish_forever(self) -> None:
        while True:
            gevent.sleep(self._interval_s)
            now_s = time.monotonic()
            self._publish_cache(now_s)
            self._publish_load(now_s)

    def _publish_cache(self, now_s: float) -> None:
        stored: list[int] = []
        removed: list[int] = []
        while self._pending and now_s - self._pending[0][0] >= self._delay_s:
            _, change = self._pending.popleft()
            stored.extend(change.stored_keys)
            removed.extend(change.removed_keys)
        if not stored and not removed:
            return
        self._sequence += 1
        if self._rng.random() < self._loss_ratio:
            self.dropped_batches += 1
            return
        batch = CacheEventBatch(
            self._engine, self._epoch, self._sequence, tuple(stored), tuple(removed)
        )
        self._socket.send(encode_message(batch), block=False)
        self.sent_batches += 1

    def _publish_load(self, now_s: float) -> None:
        self._loads.append((now_s, self._sample_load()))
        while len(self._loads) > 1 and now_s - self._loads[1][0] >= self._load_lag_s:
            self._loads.popleft()
        running, waiting, usage = self._loads[0][1]
        report = LoadReport(
            self._engine, self._epoch, running, waiting, usage, *self._read_named()
        )
        self._socket.send(encode_message(report), block=False)
