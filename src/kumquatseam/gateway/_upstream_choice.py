"""Choose the upstream of the next attempt at a request."""

import math
import time

from kumquatseam.errors import OverloadedError, UpstreamsRestingError
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._continuation import Continuation
from kumquatseam.gateway._failure import FailureResponse
from kumquatseam.gateway._grants import AttemptGrants
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._outcomes import Progress
from kumquatseam.gateway._refusals import Reason, RefusedError
from kumquatseam.placement import LimitedPlacer, Placement, PlacementRequest
from kumquatseam.quotas import CallerRetry, UpstreamFullError, UpstreamLimitError

#: pause before the next placement attempt while no upstream accepts the request.
PLACEMENT_RETRY_INTERVAL_S = 0.02
#: maximum expected wait for the first event, as a multiple of the route's target
#: latency. Requests beyond it are refused with a Retry-After; without a limit, all
#: requests queue behind each other under overload and all miss the target.
MAX_WAIT_PER_TARGET = 1.0
#: the same for a request over its team's quota, which must not delay others.
MAX_OVER_QUOTA_WAIT_PER_TARGET = 0.5
#: maximum expected wait as a share of the request's remaining time; prefill and
#: the first events take about the rest.
MAX_WAIT_SHARE = 0.7
#: share of its remaining time that a request waits for an available upstream before
#: it is refused.
PLACEMENT_TIMEOUT_SHARE = 0.25
#: the same for a stream that goes on at one software version only.
BOUND_TIMEOUT_SHARE = 0.5
#: how many times the expected wait has to be left to start on replaced weights for a
#: request that may run once: it is cut if it takes longer.
ONCE_START_MARGIN = 2.0
#: shortest Retry-After for a caller that no brittle upstream has a place for.
MIN_FULL_RETRY_S = 0.3

#: why a request is refused that no upstream has room for, by the error that says so.
_NO_ROOM_REASONS = {
    UpstreamLimitError: Reason.LIMITS_USED_UP,
    UpstreamFullError: Reason.UPSTREAMS_FULL,
    UpstreamsRestingError: Reason.RESTING,
}


class UpstreamChoice:
    """Chooses upstreams for the attempts at one request.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param caller: connection to the caller.
    :param progress: what became of the attempts so far.
    :param continuation: follows the stream over the upstreams that write it.
    :param grants: gets the permit of the chosen upstream's limit.
    :param failure: ends the request if there is no upstream for it.
    """

    def __init__(
        self,
        parts,
        job: Job,
        caller: CallerConnection,
        progress: Progress,
        continuation: Continuation,
        grants: AttemptGrants,
        failure: FailureResponse,
    ) -> None:
        self._parts = parts
        self._job = job
        self._caller = caller
        self._progress = progress
        self._continuation = continuation
        self._grants = grants
        self._failure = failure
        self._placer = LimitedPlacer(parts.placer, parts.limits)

    def place_in_turn(self) -> Placement:
        """Choose an upstream, after streams that have waited longer.

        :raises RefusedError: if no upstream is available in time.
        """
        try:
            return self._place()
        finally:
            self._continuation.end_wait()

    def _place(self) -> Placement:
        """Choose an upstream, retrying for a short time while none is available.

        :raises RefusedError: if no upstream is available in time.
        """
        job, progress = self._job, self._progress
        share = PLACEMENT_TIMEOUT_SHARE
        if self._continuation.is_bound:
            share = BOUND_TIMEOUT_SHARE
        timeout_at_s = time.monotonic() + job.remaining_s * share
        while True:
            self._failure.check_deadline()
            self._failure.check_stop()
            self._check_version_served()
            placement = None
            if self._continuation.is_its_turn():
                placement = self._try_place()
            if placement is not None:
                return placement
            may_forgive = self._continuation.may_forgive(progress.excluded)
            if progress.excluded and (not progress.may_have_run or may_forgive):
                progress.excluded.clear()
            # A resumable stream may wait for an engine that is loading weights. Any
            # other request that may have run was already tried on every upstream
            # that may run it.
            may_wait = not progress.may_have_run or job.route.is_resumable
            if time.monotonic() >= timeout_at_s or not may_wait:
                self._failure.fail(Reason.NO_UPSTREAM, "no upstream available in time")
            self._continuation.wait(self._pause_s())
            self._caller.check_connected()

    def _pause_s(self) -> float:
        """Return the time until the next placement attempt."""
        turn_in_s = self._placer.turn_in_s
        if turn_in_s is None:
            return PLACEMENT_RETRY_INTERVAL_S
        return min(PLACEMENT_RETRY_INTERVAL_S, turn_in_s)

    def _try_place(self) -> Placement | None:
        job, progress = self._job, self._progress
        is_first = not progress.attempts and not progress.refusals
        # A stream that began is worth more than one that has yet to begin.
        is_limited = is_first and (not self._continuation.is_bound or job.is_over_quota)
        request = PlacementRequest(
            job.call.request_id,
            job.service,
            job.team,
            job.call.model,
            job.call.prompt,
            frozenset(progress.excluded),
            progress.attempts + 1,
            self._max_wait_s() if is_limited else math.inf,
            job.remaining_s * MAX_WAIT_SHARE,
            job.table.cache_stores,
            job.call.max_output_tokens,
            software_version=self._continuation.software_version,
            start_margin=1.0 if job.route.is_retryable else ONCE_START_MARGIN,
        )
        max_wait_s = job.caller_remaining_s * self._parts.dialect.retry_wait_share
        retry = CallerRetry(job.fingerprint, max(0.0, max_wait_s))
        try:
            granted = self._placer.place(request, retry, self._max_place_wait_s())
        except tuple(_NO_ROOM_REASONS) as error:
            if progress.may_have_run and job.route.is_resumable:
                # Its caller waits for the rest of the stream.
                return None
            retry_after_s = error.retry_after_s
            if isinstance(error, UpstreamFullError):
                retry_after_s = max(MIN_FULL_RETRY_S, retry_after_s)
            reason = _NO_ROOM_REASONS[type(error)]
            self._failure.fail(reason, str(error), retry_after_s)
        except OverloadedError as error:
            if job.is_over_quota:
                raise RefusedError(
                    429, Reason.OVER_QUOTA, error.retry_after_s, str(error)
                ) from error
            raise RefusedError(
                503, Reason.OVERLOADED, error.retry_after_s, str(error)
            ) from error
        if granted is None:
            return None
        self._grants.put_limit(granted.grant)
        return granted.placement

    def _max_wait_s(self) -> float:
        """Return the maximum expected wait for the request's first event."""
        job = self._job
        waits_per_target = (
            MAX_OVER_QUOTA_WAIT_PER_TARGET if job.is_over_quota else MAX_WAIT_PER_TARGET
        )
        target_wait_s = job.route.target_latency_s * waits_per_target
        return min(target_wait_s, job.remaining_s * MAX_WAIT_SHARE)

    def _max_place_wait_s(self) -> float:
        """Return how long the request may wait for its turn at a brittle upstream."""
        # Later it would not be placed any more.
        timeout_s = self._job.remaining_s * PLACEMENT_TIMEOUT_SHARE
        return min(self._max_wait_s(), timeout_s)

    def _check_version_served(self) -> None:
        """Check that a replica may write the rest of the stream.

        :raises RefusedError: if there is none.
        """
        if not self._continuation.is_served:
            version = self._continuation.software_version
            self._failure.fail(
                Reason.VERSION_GONE, f"no replica of version {version}", None
            )
