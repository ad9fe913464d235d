"""Streams that go on only at one software version, and wait for it."""

import collections
import time
from collections.abc import Callable

import attrs
import gevent.event

#: how long a version counts as wanted after a stream waited for it.
WANTED_FOR_S = 2.0


@attrs.define
class _Demand:
    """The demand for one software version of a service.

    :param places: the streams that wait, in order of arrival.
    :param wanted_until_s: until when the version counts as wanted.
    """

    places: collections.deque["QueuePlace"] = attrs.Factory(collections.deque)
    wanted_until_s: float = 0.0


class QueuePlace:
    """The place of one stream in the queue for a software version.

    :param demand: the queue.
    :param clock: monotonic clock in seconds.
    """

    def __init__(self, demand: _Demand, clock: Callable[[], float]) -> None:
        self._demand = demand
        self._clock = clock
        self._is_first = gevent.event.Event()
        demand.places.append(self)
        self._wake_first()

    @property
    def is_first(self) -> bool:
        """Whether all streams that came before were placed or gave up."""
        return self._is_first.is_set()

    def wait(self, timeout_s: float) -> None:
        """Wait until it is the first place, for ``timeout_s`` at most."""
        self._is_first.wait(timeout_s)

    def close(self) -> None:
        """Leave the queue."""
        self._demand.places.remove(self)
        self._demand.wanted_until_s = self._clock() + WANTED_FOR_S
        self._wake_first()

    def _wake_first(self) -> None:
        if self._demand.places:
            self._demand.places[0]._is_first.set()


class VersionDemand:
    """Which software versions streams wait for, in order of arrival.

    Few replicas of a version may be left when the callers of a crashed instance come
    back all at once. Streams that began there can only go on at these replicas, while
    new ones can begin anywhere.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._demands: dict[tuple[str, str], _Demand] = {}

    def has_waiting(self, service: str, software_version: str) -> bool:
        """Return whether streams wait for a version."""
        demand = self._demands.get((service, software_version))
        return demand is not None and bool(demand.places)

    def is_wanted(self, service: str, software_version: str) -> bool:
        """Return whether streams wait for a version, or waited for it lately."""
        if not self._demands:
            return False
        demand = self._demands.get((service, software_version))
        if demand is None:
            return False
        return bool(demand.places) or demand.wanted_until_s > self._clock()

    def join(self, service: str, software_version: str) -> QueuePlace:
        """Join the queue for a version; close the place to leave it."""
        now_s = self._clock()
        for key, demand in list(self._demands.items()):
            if not demand.places and demand.wanted_until_s <= now_s:
                del self._demands[key]
        key = (service, software_version)
        return QueuePlace(self._demands.setdefault(key, _Demand()), self._clock)
