"""Where a stream began, and at which upstreams it goes on."""

import enum
import time
from collections.abc import Collection

import gevent

from kumquatseam.gateway._job import Job
from kumquatseam.logs import part_logger
from kumquatseam.origins import stream_key
from kumquatseam.placement import Placement, QueuePlace
from kumquatseam.upstreams import ServiceVersion

_log = part_logger("continuation")

#: longest time that an origin is kept after it was told last; it is told again while
#: the stream lasts.
MAX_KEEP_S = 60.0
#: time after the first event until the origin is told again; doubles each time.
FIRST_REPEAT_S = 1.0
#: how often a stream that waits for its turn checks its caller.
TURN_CHECK_S = 0.1


class ContinuedBy(enum.Enum):
    """Who took a stream up after it was broken off."""

    CALLER = "caller"
    GATEWAY = "gateway"
    MOVE = "move"


class Continuation:
    """Follows one stream over the upstreams that write it.

    The upstream that writes the first event binds the stream to its software version,
    before the event is passed on. A stream that its caller takes up is bound from the
    start.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    """

    def __init__(self, parts, job: Job) -> None:
        self._parts = parts
        self._job = job
        #: what the stream is bound to; ``None`` while any version will do.
        self.origin: ServiceVersion | None = job.origin
        self._has_events = False
        self._current: Placement | None = None
        self._queue_place: QueuePlace | None = None
        self._repeat_s = FIRST_REPEAT_S
        self._repeat_at_s = 0.0

    @property
    def is_bound(self) -> bool:
        """Whether only one software version may write the next event."""
        return self.origin is not None

    @property
    def software_version(self) -> str:
        """The only software version that may write the next event; ``""`` for any."""
        return self.origin.software_version if self.origin is not None else ""

    # Placement.

    @property
    def is_served(self) -> bool:
        """Whether any upstream may write the next event."""
        if self.origin is None:
            # Whatever began the stream is not known to be of the same version.
            return not self._has_events
        return self._parts.directory.serves(self.origin)

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

    def may_pass_on(self, placement: Placement) -> bool:
        """Return whether events of an upstream may be passed on.

        It may have started again, at another version, since it was chosen. Once its
        first event was passed on, the connection leads to the same process.
        """
        if not self._job.route.is_resumable or placement is self._current:
            return True
        return self._parts.directory.has_kept_version(placement.status)

    def note_events(self, placement: Placement) -> None:
        """Record that events are about to be passed on.

        :param placement: the upstream that wrote them.
        """
        if not self._job.route.is_resumable:
            return
        if placement is not self._current:
            self._current = placement
            self._note_upstream(placement)
        if self.origin is not None and time.monotonic() >= self._repeat_at_s:
            self._tell_owners()

    def _note_upstream(self, placement: Placement) -> None:
        if self._has_events:
            is_moved = placement.moved_run is not None
            self._record(ContinuedBy.MOVE if is_moved else ContinuedBy.GATEWAY)
        elif self.origin is not None:
            self._record(ContinuedBy.CALLER)
        elif placement.status.upstream.software_version:
            self.origin = placement.status.upstream.service_version
        self._has_events = True

    def _tell_owners(self) -> None:
        """Tell those who may be asked later where the stream began."""
        job = self._job
        keep_s = min(MAX_KEEP_S, max(0.0, job.caller_remaining_s))
        key = job.origin_key or stream_key(job.team_name, job.call.request_id)
        self._parts.origins.note(key, self.origin, keep_s)
        self._repeat_at_s = time.monotonic() + self._repeat_s
        self._repeat_s = min(MAX_KEEP_S / 2, 2 * self._repeat_s)

    def _record(self, by: ContinuedBy) -> None:
        upstream = self._current.status.upstream
        is_same = None
        if self.origin is not None:
            is_same = upstream.software_version == self.software_version
        self._parts.metrics.record_continuation(by.value, is_same)
        _log.bind(
            request=self._job.call.request_id,
            by=by.value,
            resumes=self._job.call.first_resumed,
            after=self._job.call.resume_after,
            upstream=upstream.incarnation_id,
            software=upstream.software_version,
            began_at=self.software_version,
        ).info("Stream continued.")
