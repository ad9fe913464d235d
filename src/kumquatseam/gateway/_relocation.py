"""Move a run away from an engine that is about to load other weights.

An engine finishes its runs before it loads weights. Streams last for seconds, and
waiting for them would keep the engine out of service for as long. Instead, the KV
cache of a run is copied to another engine with the same weights in some ten
milliseconds, and the caller receives one uninterrupted stream.
"""

import time

import gevent

from kumquatseam.admission import RetryCause
from kumquatseam.logs import part_logger
from kumquatseam.placement import Placement
from kumquatseam.quotas import RetryGrant, UpstreamLimitError
from kumquatseam.rollouts import MovedRun, RunEndedError

_log = part_logger("relocation")

#: longer runs are not moved: copying their KV cache would delay the moves of ten
#: others by a tenth of a second or more, and they have few tokens left to generate.
MAX_MOVED_TOKENS = 4_000
#: pause before a run that no engine had room for is tried again: the destination
#: engines get no new requests, so some of their runs have ended by then.
RETRY_PAUSE_S = 0.25


class Relocation:
    """Moves one run if its engine is being drained.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request (``Job``).
    :param placement: the engine it runs on.
    """

    def __init__(self, parts, job, placement: Placement) -> None:
        self._parts = parts
        self._job = job
        self._placement = placement
        self._destination: Placement | None = None
        self._move: gevent.Greenlet | None = None
        self._started_s = 0.0
        self._may_have_stopped_run = False

    def start_if_due(self) -> None:
        """Start moving the run if its engine is being drained."""
        source = self._placement.status
        if not source.move_runs_to or not self._may_start():
            return
        if source.version_of(self._placement.model) != self._placement.version:
            # The engine's weights changed during the run: no engine can use its KV
            # cache.
            return
        if self._job.call.tokens > MAX_MOVED_TOKENS:
            return
        self._destination = self._parts.placer.move_destination(self._placement)
        if self._destination is None:
            return
        self._started_s = time.monotonic()
        self._move = gevent.spawn(self._move_run)

    def _move_run(self) -> MovedRun | None:
        """Move the run; return ``None`` if it was not moved."""
        limits, request_id = self._parts.limits, self._job.call.request_id
        destination = self._destination.status.upstream
        # The destination gets the request once more.
        retry_grant = self._acquire_retry_grant()
        if retry_grant is None:
            return None
        try:
            grant = limits.acquire(destination.incarnation_id, request_id)
        except UpstreamLimitError as error:
            _log.bind(request=request_id, error=str(error)).debug("Run not moved.")
            self._parts.retries.release(retry_grant)
            return None
        self._may_have_stopped_run = True
        try:
            moved = self._parts.orders.move_run(
                self._placement.status.upstream, request_id, destination
            )
        except RunEndedError as error:
            _log.bind(request=request_id, error=str(error)).debug("Run not moved.")
            self._may_have_stopped_run = False
            moved = None
        if moved is None:
            limits.release(grant)
            self._parts.retries.release(retry_grant)
        else:
            self._parts.retries.note_sent(retry_grant)
        return moved

    def _acquire_retry_grant(self) -> RetryGrant | None:
        cause = RetryCause.MOVED
        grant = self._parts.retries.acquire(
            self._job.service.name, cause, self._job.call.request_id
        )
        self._parts.metrics.record_retry(cause.value, grant is not None)
        return grant

    def _may_start(self) -> bool:
        """Return whether no move is in progress or was tried too recently."""
        if self._move is None:
            return True
        if not self._move.ready() or self._move.value is not None:
            return False
        return time.monotonic() >= self._started_s + RETRY_PAUSE_S

    def may_have_stopped_run(self) -> bool:
        """Return whether a move may have ended the stream; waits for one in progress.

        Its source closes the stream before it answers.
        """
        if self._move is not None:
            self._move.join()
        return self._may_have_stopped_run

    def finish(self) -> Placement | None:
        """Return the placement on which the run continues, after its stream ended.

        :returns: ``None`` if it was not moved.
        """
        if self._move is None:
            return None
        moved = self._move.get()
        _log.bind(
            request=self._job.call.request_id,
            source=self._placement.status.upstream.incarnation_id,
            destination=self._destination.status.upstream.incarnation_id,
            events=moved.events if moved else None,
        ).info("Run moved." if moved else "Run interrupted during a move.")
        if moved is None:
            return None
        return self._destination.with_moved_run(moved)
