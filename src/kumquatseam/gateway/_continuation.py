"""Where a stream began, and at which upstreams it went on."""

import enum

from kumquatseam.gateway._job import Job
from kumquatseam.logs import part_logger
from kumquatseam.metrics import GatewayMetrics
from kumquatseam.placement import Placement

_log = part_logger("continuation")


class ContinuedBy(enum.Enum):
    """Who took a stream up after it was broken off."""

    CALLER = "caller"
    GATEWAY = "gateway"
    MOVE = "move"


class Continuation:
    """Follows one stream over the upstreams that write it.

    :param job: the request.
    :param metrics: counts the continuations.
    """

    def __init__(self, job: Job, metrics: GatewayMetrics) -> None:
        self._job = job
        self._metrics = metrics
        #: software version that wrote the first event; ``""`` if unknown.
        self._began_at = ""
        self._has_events = False
        self._current: Placement | None = None

    def note_events(self, placement: Placement) -> None:
        """Record that events are about to be passed on.

        :param placement: the upstream that wrote them.
        """
        if placement is self._current:
            return
        self._current = placement
        software = placement.status.upstream.software_version
        if self._has_events:
            is_moved = placement.moved_run is not None
            self._record(ContinuedBy.MOVE if is_moved else ContinuedBy.GATEWAY)
        elif self._job.call.resume_after:
            self._record(ContinuedBy.CALLER)
        else:
            self._began_at = software
        self._has_events = True

    def _record(self, by: ContinuedBy) -> None:
        upstream = self._current.status.upstream
        is_same = None
        if self._began_at:
            is_same = upstream.software_version == self._began_at
        self._metrics.record_continuation(by.value, is_same)
        _log.bind(
            request=self._job.call.request_id,
            by=by.value,
            resumes=self._job.call.resumes,
            after=self._job.call.resume_after,
            upstream=upstream.incarnation_id,
            software=upstream.software_version,
            began_at=self._began_at,
        ).info("Stream continued.")
