"""Placement within the limits that upstreams announced."""

import random
import time
from collections.abc import Callable, Sequence

import attrs

from kumquatseam.errors import (
    LimitsUsedUpError,
    OverloadedError,
    UpstreamsRestingError,
)
from kumquatseam.placement._placer import Placer
from kumquatseam.placement._request import Placement, PlacementRequest
from kumquatseam.quotas import (
    CallerRetry,
    LimitGrant,
    UpstreamFullError,
    UpstreamLimitError,
    UpstreamLimits,
)

#: brittle upstreams that one placement asks for a place before it waits for one.
MAX_PLACES_ASKED = 3


@attrs.frozen
class GrantedPlacement:
    """A placement, and the grant of the upstream's limit for it.

    :param placement: the upstream.
    :param grant: to be released if the request is not sent there.
    """

    placement: Placement
    grant: LimitGrant


@attrs.frozen
class _Turn:
    """A request's turn for a place at a brittle upstream.

    :param incarnation_id: the upstream.
    :param due_s: when to ask for the place.
    """

    incarnation_id: str
    due_s: float


class LimitedPlacer:
    """Places one request on an upstream, with a grant where one is needed.

    Upstreams that announced a limit and brittle ones take requests with a grant only.

    :param placer: chooses the upstreams.
    :param limits: grants requests to them.
    :param clock: monotonic clock in seconds.
    :param draw: random generator for the choice among equal upstreams.
    """

    def __init__(
        self,
        placer: Placer,
        limits: UpstreamLimits,
        clock: Callable[[], float] = time.monotonic,
        draw: random.Random | None = None,
    ) -> None:
        self._placer = placer
        self._limits = limits
        self._clock = clock
        self._draw = draw or random.Random()
        self._turn: _Turn | None = None
        #: until when the request waits for a place.
        self._waits_until_s: float | None = None

    def place(
        self,
        request: PlacementRequest,
        retry: CallerRetry,
        max_place_wait_s: float = 0.0,
    ) -> GrantedPlacement | None:
        """Place a request on an upstream that has room for it.

        If no limit has room, a place is reserved for the retry of the request, provided
        that its caller can wait until it is free. If the upstreams are brittle and have
        no place, the request gets its turn at one of them; call this again until then.

        :param max_place_wait_s: how long it waits for its turn, from the first call on.
        :returns: ``None`` if no upstream can take it now.
        :raises OverloadedError: if its expected wait exceeds its limit.
        :raises UpstreamLimitError: if no limit has room.
        :raises UpstreamFullError: if no brittle upstream has a place for it in time.
        :raises UpstreamsRestingError: if all upstreams rest.
        """
        if self._waits_until_s is None:
            self._waits_until_s = self._clock() + max_place_wait_s
        if self._turn is not None:
            if self.turn_in_s:
                return None
            return self._take_place(request, [self._turn.incarnation_id])
        try:
            return self._place_with_room(request)
        except LimitsUsedUpError as error:
            brittle = list(filter(self._limits.is_brittle, error.upstreams))
            if brittle:
                return self._take_place(request, brittle)
            return self._place_on_reserved(request, retry, error)

    @property
    def turn_in_s(self) -> float | None:
        """Time until the request has its turn; ``None`` if it waits for none."""
        if self._turn is None:
            return None
        return max(0.0, self._turn.due_s - self._clock())

    def _place_with_room(self, request: PlacementRequest) -> GrantedPlacement | None:
        """Place a request on an upstream that has room, preferably a known one.

        :raises LimitsUsedUpError: if no limit has room.
        """
        full: list[str] = []
        while True:
            placement = self._placer.place(request)
            if placement is None:
                return None
            granted = self._try_acquire(request, placement)
            if granted is None:
                incarnation_id = placement.status.upstream.incarnation_id
                if self._limits.is_brittle(incarnation_id):
                    full.append(incarnation_id)
                if len(full) >= MAX_PLACES_ASKED:
                    return self._take_place(request, full)
                continue
            if granted.grant.is_limit_known:
                return granted
            return self._find_known(request, granted) or granted

    def _find_known(
        self, request: PlacementRequest, unknown: GrantedPlacement
    ) -> GrantedPlacement | None:
        """Look once for another upstream whose limit this instance would know.

        No owner of the chosen one's limit replied. It may have one.
        """
        excluded = request.excluded | {unknown.grant.incarnation_id}
        try:
            placement = self._placer.place(attrs.evolve(request, excluded=excluded))
        except (LimitsUsedUpError, OverloadedError, UpstreamsRestingError):
            return None
        if placement is None:
            return None
        granted = self._try_acquire(request, placement)
        if granted is None or not granted.grant.is_limit_known:
            return None
        return granted

    def _try_acquire(
        self, request: PlacementRequest, placement: Placement
    ) -> GrantedPlacement | None:
        """Return a placement with its grant, or ``None`` if its limit has no room.

        The placer then skips the upstream until it is expected to have room.
        """
        incarnation_id = placement.status.upstream.incarnation_id
        try:
            grant = self._limits.acquire(
                incarnation_id,
                request.request_id,
                # Whoever knows the work on an upstream knows its limit too.
                is_limit_known=placement.is_work_known,
            )
        except (UpstreamLimitError, UpstreamFullError):
            return None
        return GrantedPlacement(placement, grant)

    def _take_place(
        self, request: PlacementRequest, brittle: Sequence[str]
    ) -> GrantedPlacement | None:
        """Place a request on a brittle upstream, or wait for its turn at one.

        Those that are expected to have a place first are asked first.

        :param brittle: the upstreams.
        :raises UpstreamFullError: if its turn would come too late at all of them.
        """
        self._turn = None
        refusal: UpstreamFullError | None = None
        free_s = {i: self._limits.used_up_s(i) for i in brittle}
        by_time = sorted(brittle, key=lambda i: (free_s[i], self._draw.random()))
        for incarnation_id in by_time[:MAX_PLACES_ASKED]:
            left_s = max(0.0, self._waits_until_s - self._clock())
            if refusal is not None and free_s[incarnation_id] > left_s:
                break
            try:
                grant = self._limits.acquire(
                    incarnation_id, request.request_id, max_place_wait_s=left_s
                )
            except UpstreamFullError as error:
                if error.is_waiting:
                    due_s = self._clock() + error.retry_after_s
                    self._turn = _Turn(incarnation_id, due_s)
                    return None
                refusal = error
            else:
                return self._place_on(request, incarnation_id, grant)
        raise refusal

    def _place_on(
        self, request: PlacementRequest, incarnation_id: str, grant: LimitGrant
    ) -> GrantedPlacement | None:
        """Place a request on one upstream; the grant is returned if that fails."""
        placement = None
        try:
            only = attrs.evolve(request, only=incarnation_id)
            placement = self._placer.place(only)
        finally:
            if placement is None:
                self._limits.release(grant)
        return GrantedPlacement(placement, grant) if placement is not None else None

    def _place_on_reserved(
        self, request: PlacementRequest, retry: CallerRetry, error: LimitsUsedUpError
    ) -> GrantedPlacement | None:
        """Use the place that was reserved when the request was refused before.

        :raises UpstreamLimitError: if there is none yet.
        """
        chosen = self._limits.preferred_for_retry(retry.key, error.upstreams)
        grant = self._limits.acquire(chosen, request.request_id, retry)
        return self._place_on(request, chosen, grant)
