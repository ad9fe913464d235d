"""Keeps requests off upstreams whose announced limit has no room."""

from collections.abc import Sequence

from kumquatseam.errors import LimitsUsedUpError
from kumquatseam.placement._request import PlacementRequest
from kumquatseam.placement._work import PlacementOption
from kumquatseam.quotas import UpstreamLimits


class LimitFilter:
    """Selects the upstreams whose limit has room, as far as this process knows.

    :param limits: the limits that upstreams announced; ``None`` to ignore limits.
    """

    def __init__(self, limits: UpstreamLimits | None) -> None:
        self._limits = limits

    def has_room(self, incarnation_id: str) -> bool:
        """Return whether an upstream has no limit, or one with room."""
        return self._limits is None or not self._limits.used_up_s(incarnation_id)

    def with_room(
        self, request: PlacementRequest, options: Sequence[PlacementOption]
    ) -> list[PlacementOption]:
        """Return the options with room."""
        if request.only:
            return list(options)
        return [o for o in options if self.has_room(o.incarnation_id)]

    def used_up_error(
        self, request: PlacementRequest, options: Sequence[PlacementOption]
    ) -> LimitsUsedUpError:
        """Return the error for a request none of whose options has room."""
        names = tuple(option.incarnation_id for option in options)
        wait_s = min(self._limits.used_up_s(name) for name in names)
        return LimitsUsedUpError(request.service.name, names, wait_s)

    def log_fields(self, incarnation_id: str) -> dict[str, float]:
        """Return the limit of an upstream and what it bears, if it said so."""
        if self._limits is None:
            return {}
        found = {}
        announced = self._limits.announced
        known = announced.of(incarnation_id)
        if known.is_limited:
            found["limit_per_s"] = known.rate_per_s
            found["limit_age_s"] = round(announced.age_s(incarnation_id), 3)
        if self._limits.places is not None:
            found |= self._limits.places.log_fields(incarnation_id)
        return found
