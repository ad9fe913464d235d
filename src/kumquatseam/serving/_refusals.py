"""Recent refusals, and whether the refused requests may have run."""

import collections
import time
from collections.abc import Callable

import attrs

from kumquatseam.errors import KumquatseamError
from kumquatseam.request_errors import (
    AlreadyClaimedError,
    ResponseMemoryError,
    RetryBudgetError,
    UpstreamError,
)

MAX_KEPT_REFUSALS = 1000


def may_have_run(error: KumquatseamError) -> bool:
    """Return whether a failed request may have run on some back end.

    All other errors are raised before the request was sent, or after a back end
    reported that it did not run it.
    """
    if isinstance(error, UpstreamError | RetryBudgetError):
        return error.started
    return isinstance(error, AlreadyClaimedError | ResponseMemoryError)


@attrs.frozen
class Refusal:
    """One refused request.

    :param request_id: the router's id.
    :param team: the caller's team.
    :param target: the requested model or service.
    :param reason: name of the error class, e.g. ``"OverloadedError"``.
    :param may_have_run: whether some back end may have run it.
    :param refused_s: monotonic time of the refusal.
    """

    request_id: str
    team: str
    target: str
    reason: str
    may_have_run: bool
    refused_s: float


class RefusalLog:
    """The most recent refusals, for operators' queries.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._refusals: collections.deque[Refusal] = collections.deque(
            maxlen=MAX_KEPT_REFUSALS
        )

    def record(
        self, request_id: str, team: str, target: str, error: KumquatseamError
    ) -> Refusal:
        """Record and return the refusal of a request."""
        refusal = Refusal(
            request_id,
            team,
            target,
            type(error).__name__,
            may_have_run(error),
            self._clock(),
        )
        self._refusals.append(refusal)
        return refusal

    def since(self, age_s: float | None) -> list[Refusal]:
        """Return refusals of the last ``age_s`` seconds (``None``: all kept ones)."""
        if age_s is None:
            return list(self._refusals)
        oldest_s = self._clock() - age_s
        return [refusal for refusal in self._refusals if refusal.refused_s >= oldest_s]
