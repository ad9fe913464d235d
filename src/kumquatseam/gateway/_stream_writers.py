"""Which upstreams write one stream; loaded with the first that can be resumed."""

import enum
import time

from kumquatseam.gateway._job import Job
from kumquatseam.gateway._processes import UpstreamProcesses
from kumquatseam.http1 import UpstreamConnection
from kumquatseam.logs import part_logger
from kumquatseam.origins.keys import stream_key
from kumquatseam.placement import Placement
from kumquatseam.upstreams import ServiceVersion

_log = part_logger("continuation")

#: longest time that an origin is kept after it was told last; it is told again while
#: the stream lasts.
MAX_KEEP_S = 60.0
#: time after the first event until the origin is told again; doubles each time.
FIRST_REPEAT_S = 1.0
#: how long a stream that is bound waits until its upstream is known; callers abandon a
#: stream after two seconds without events.
BOUND_WAIT_S = 1.0
#: the same for the first event of a stream, which may be passed on all the same: many
#: round trips, and a fraction of the shortest target latency.
FIRST_EVENT_WAIT_S = 0.05
#: the same for a stream that was broken off: its caller waits for its end.
BROKEN_OFF_WAIT_S = 0.2


class ContinuedBy(enum.Enum):
    """Who took a stream up after it was broken off."""

    CALLER = "caller"
    GATEWAY = "gateway"
    MOVE = "move"


class StreamWriters:
    """Binds one stream to the software version of what writes its first event.

    What is written before that is known is passed on, and the stream is bound as soon
    as it is known.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    """

    def __init__(self, parts, job: Job) -> None:
        self._parts = parts
        self._job = job
        self._processes: UpstreamProcesses = parts.processes
        self._origin = job.origin
        self.has_events = False
        self._current: Placement | None = None
        self._connection: UpstreamConnection | None = None
        self._repeat_s = FIRST_REPEAT_S
        self._repeat_at_s = 0.0

    @property
    def origin(self) -> ServiceVersion | None:
        """What the stream is bound to; ``None`` while any version will do."""
        return self._origin

    def note_broken_off(self) -> None:
        """Find out what wrote the events, so that the stream can go on elsewhere."""
        if self._origin is None and self._current is not None:
            self._processes.wait_identified(
                self._current.status, self._connection, BROKEN_OFF_WAIT_S
            )
            self._bind_if_identified()

    def may_pass_on(self, placement: Placement, connection: UpstreamConnection) -> bool:
        """Return whether events that an upstream wrote may be passed on.

        It may have started again, at another version, since it was chosen or listed.
        Once its first event was passed on, the connection leads to the same process.
        """
        if connection is self._connection:
            return True
        if self.has_events and self._origin is None:
            # Of what wrote the events so far; else the next writer would bind them.
            self._bind_if_identified()
            if self._origin is None:
                return False
        is_bound = self._origin is not None
        known = self._processes.wait_identified(
            placement.status,
            connection,
            BOUND_WAIT_S if is_bound else FIRST_EVENT_WAIT_S,
        )
        self._processes.note_answered(placement.status, connection)
        if not is_bound:
            # What is listed by now as something else is left before it has begun.
            return known is not None or self._processes.is_listed_as(placement.status)
        return known is not None and known.upstream.service_version == self._origin

    def may_reuse(self, placement: Placement, connection: UpstreamConnection) -> bool:
        """Return whether another stream that it carries may be bound."""
        return self._processes.may_identify(placement.status, connection)

    def note_events(self, placement: Placement, connection: UpstreamConnection) -> None:
        """Record that events are about to be passed on.

        :param placement: the upstream that wrote them.
        """
        if connection is not self._connection:
            self._current, self._connection = placement, connection
            self._note_upstream()
        if self._origin is None and not self._bind_if_identified():
            self._processes.ask(placement.status, connection)
        if self._origin is not None and time.monotonic() >= self._repeat_at_s:
            self._tell_owners()

    def _bind_if_identified(self) -> bool:
        """Bind the stream if possible; return whether its upstream is identified.

        One that has started again has no version until its entry is read.
        """
        status = self._processes.identify(self._current.status, self._connection)
        if status is not None and status.upstream.software_version:
            self._origin = status.upstream.service_version
        return status is not None

    def _note_upstream(self) -> None:
        if self.has_events:
            is_moved = self._current.moved_run is not None
            self._record(ContinuedBy.MOVE if is_moved else ContinuedBy.GATEWAY)
        elif self._origin is not None:
            self._record(ContinuedBy.CALLER)
        self.has_events = True

    def _tell_owners(self) -> None:
        """Tell those who may be asked later where the stream began."""
        job = self._job
        keep_s = min(MAX_KEEP_S, max(0.0, job.caller_remaining_s))
        key = job.origin_key or stream_key(job.team_name, job.call.request_id)
        self._parts.origins.note(key, self._origin, keep_s)
        self._repeat_at_s = time.monotonic() + self._repeat_s
        self._repeat_s = min(MAX_KEEP_S / 2, 2 * self._repeat_s)

    def _record(self, by: ContinuedBy) -> None:
        upstream = self._current.status.upstream
        origin, is_same, began_at = self._origin, None, ""
        if origin is not None:
            began_at = origin.software_version
            is_same = upstream.software_version == began_at
        self._parts.metrics.record_continuation(by.value, is_same)
        _log.bind(
            request=self._job.call.request_id,
            by=by.value,
            resumes=self._job.call.first_resumed,
            after=self._job.call.resume_after,
            upstream=upstream.incarnation_id,
            software=upstream.software_version,
            began_at=began_at,
        ).info("Stream continued.")
