"""Placement within the limits that upstreams announced."""

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
    UpstreamLimitError,
    UpstreamLimits,
)


@attrs.frozen
class GrantedPlacement:
    """A placement, and the grant of the upstream's limit for it.

    :param placement: the upstream.
    :param grant: to be released if the request is not sent there.
    """

    placement: Placement
    grant: LimitGrant


class LimitedPlacer:
    """Places requests on upstreams, with a grant where one announced a limit.

    :param placer: chooses the upstreams.
    :param limits: grants requests to them.
    """

    def __init__(self, placer: Placer, limits: UpstreamLimits) -> None:
        self._placer = placer
        self._limits = limits

    def place(
        self, request: PlacementRequest, retry: CallerRetry
    ) -> GrantedPlacement | None:
        """Place a request on an upstream that has room for it.

        If no limit has room, a place is reserved for the retry of the request, provided
        that its caller can wait until it is free.

        :returns: ``None`` if no upstream can take it now.
        :raises OverloadedError: if its expected wait exceeds its limit.
        :raises UpstreamLimitError: if no limit has room.
        :raises UpstreamsRestingError: if all upstreams rest.
        """
        try:
            return self._place_with_room(request)
        except LimitsUsedUpError as error:
            return self._place_on_reserved(request, retry, error)

    def _place_with_room(self, request: PlacementRequest) -> GrantedPlacement | None:
        """Place a request on an upstream that has room, preferably a known one.

        :raises LimitsUsedUpError: if no limit has room.
        """
        while True:
            placement = self._placer.place(request)
            if placement is None:
                return None
            granted = self._try_acquire(request, placement)
            if granted is None:
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
        except UpstreamLimitError:
            return None
        return GrantedPlacement(placement, grant)

    def _place_on_reserved(
        self, request: PlacementRequest, retry: CallerRetry, error: LimitsUsedUpError
    ) -> GrantedPlacement | None:
        """Use the place that was reserved when the request was refused before.

        :raises UpstreamLimitError: if there is none yet.
        """
        chosen = self._limits.preferred_for_retry(retry.key, error.upstreams)
        grant = self._limits.acquire(chosen, request.request_id, retry)
        placement = None
        try:
            placement = self._placer.place(attrs.evolve(request, only=chosen))
        finally:
            if placement is None:
                self._limits.release(grant)
        return GrantedPlacement(placement, grant) if placement is not None else None
