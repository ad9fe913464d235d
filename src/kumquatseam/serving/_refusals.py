"""What was refused lately and whether it may have run."""

import collections
import time
from collections.abc import Callable

import attrs

from kumquatseam.errors import (
    AlreadyClaimedError,
    KumquatseamError,
    RetryBudgetError,
    UpstreamError,
)

KEPT = 1000


def may_have_run(error: KumquatseamError) -> bool:
    """Return whether a failed request may have run on some back end.

    Every other failure is raised before anything was sent, or after a back
    end said it did not run the request.
    """
    if isinstance(error, UpstreamError | RetryBudgetError):
        return error.started
    return isinstance(error, AlreadyClaimedError)


@attrs.frozen
class Refusal:
    """One refused request.

    :param request_id: the router's id.
    :param team: the caller's team.
    :param target: the model or service asked for.
    :param reason: the failure's class, e.g. ``"OverloadedError"``.
    :param may_have_run: whether some back end may have run it.
    :param refused_s: monotonic time.
    """

    request_id: str
    team: str
    target: str
    reason: str
    may_have_run: bool
    refused_s: float


class RefusalLog:
    """The newest refusals, for operators' queries.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._refusals: collections.deque[Refusal] = collections.deque(maxlen=KEPT)

    def note(
        self, request_id: str, team: str, target: str, error: KumquatseamError
    ) -> Refusal:
        """Remember that a request was refused."""
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
        """Return the refusals of the last ``age_s`` seconds (none: all kept)."""
        if age_s is None:
            return list(self._refusals)
        oldest_s = self._clock() - age_s
        return [refusal for refusal in self._refusals if refusal.refused_s >= oldest_s]
