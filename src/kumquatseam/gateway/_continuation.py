"""Where a stream began, and at which upstreams it goes on."""

import functools
from collections.abc import Collection
from typing import TYPE_CHECKING

import gevent

from kumquatseam.gateway._job import Job
from kumquatseam.http1 import UpstreamConnection
from kumquatseam.placement import Placement, QueuePlace
from kumquatseam.upstreams import ServiceVersion

if TYPE_CHECKING:
    from kumquatseam.gateway._stream_writers import StreamWriters

#: how often a stream that waits for its turn checks its caller.
TURN_CHECK_S = 0.1


class Continuation:
    """Follows one stream over the upstreams that write it.

    The upstream that writes the first event binds the stream to its software version,
    as soon as that is known. A stream that its caller takes up is bound from the start.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    """

    def __init__(self, parts, job: Job) -> None:
        self._parts = parts
        self._job = job
        self._queue_place: QueuePlace | None = None

    @functools.cached_property
    def _writers(self) -> "StreamWriters":
        """Loaded with the first resumable stream."""
        from kumquatseam.gateway._stream_writers import StreamWriters

        return StreamWriters(self._parts, self._job)

    @property
    def origin(self) -> ServiceVersion | None:
        """What the stream is bound to; ``None`` while any version will do."""
        return self._writers.origin if self._job.route.is_resumable else None

    @property
    def is_bound(self) -> bool:
        """Whether only one software version may write the next event."""
        return self.origin is not None

    @property
    def software_version(self) -> str:
        """The only software version that may write the next event; ``""`` for any."""
        origin = self.origin
        return origin.software_version if origin is not None else ""

    # Placement.

    @property
    def is_served(self) -> bool:
        """Whether any upstream may write the next event."""
        origin = self.origin
        if origin is None:
            # Whatever began the stream is not known to be of the same version.
            return not (self._job.route.is_resumable and self._writers.has_events)
        return self._parts.directory.serves(origin)

    def may_forgive(self, excluded: Collection[str]) -> bool:
        """Return whether upstreams that failed may be tried again.

        :param excluded: the incarnations that failed.
        """
        if self.origin is None:
            return False
        serving = self._parts.directory.serving(self.origin)
        return all(s.upstream.incarnation_id in excluded for s in serving)

    def is_its_turn(self) -> bool:
        """Return whether it may be placed before other streams of its version."""
        if self.origin is None:
            return True
        if self._queue_place is not None:
            return self._queue_place.is_first
        demand = self._parts.placer.demand
        return not demand.has_waiting(self.origin.service, self.software_version)

    def wait(self, interval_s: float) -> None:
        """Wait until the next attempt to place it.

        :param interval_s: the interval while it is its turn.
        """
        if self.origin is not None and self._queue_place is None:
            demand = self._parts.placer.demand
            self._queue_place = demand.join(self.origin.service, self.software_version)
        if self._queue_place is None or self._queue_place.is_first:
            gevent.sleep(interval_s)
        else:
            self._queue_place.wait(TURN_CHECK_S)

    def end_wait(self) -> None:
        """Let the next stream be placed."""
        place, self._queue_place = self._queue_place, None
        if place is not None:
            place.close()

    # Events.

    def may_pass_on(self, placement: Placement, connection: UpstreamConnection) -> bool:
        """Return whether events of an upstream may be passed on."""
        if not self._job.route.is_resumable:
            return True
        return self._writers.may_pass_on(placement, connection)

    def note_events(self, placement: Placement, connection: UpstreamConnection) -> None:
        """Record that events of an upstream are about to be passed on."""
        if self._job.route.is_resumable:
            self._writers.note_events(placement, connection)

    def note_broken_off(self) -> None:
        """Record that an upstream broke the stream off, which may go on elsewhere."""
        if self._job.route.is_resumable:
            self._writers.note_broken_off()
