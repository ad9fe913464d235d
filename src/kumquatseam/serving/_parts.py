"""Dependencies shared by the serving of completions and service calls."""

import contextlib
import time
from collections.abc import Callable, Iterator

import attrs

from kumquatseam.admission.retry_budget import RetryBudget
from kumquatseam.admission.team_limiter import TeamLimiter
from kumquatseam.errors import KumquatseamError
from kumquatseam.idempotency import ClaimLedger
from kumquatseam.quarantine import Quarantine
from kumquatseam.quotas import UpstreamLimits
from kumquatseam.request_errors import ClaimUnavailableError
from kumquatseam.serving._refusals import may_have_run
from kumquatseam.serving._running import RunningRequests
from kumquatseam.settings import AdmissionSettings


@attrs.frozen
class ServingParts:
    """Dependencies that serving any request needs.

    :param claims: records claims; ``None`` without a log service.
    :param limiter: limits the running requests of each team.
    :param retry_budget: limits retries.
    :param admission: settings, of which the maximum number of attempts is used.
    :param running: the table of running requests.
    :param quarantine: protects back ends from requests that crash them.
    :param limits: keeps the limits that back ends announce.
    :param clock: monotonic clock in seconds.
    """

    claims: ClaimLedger | None
    limiter: TeamLimiter
    retry_budget: RetryBudget
    admission: AdmissionSettings
    running: RunningRequests
    quarantine: Quarantine
    limits: UpstreamLimits
    clock: Callable[[], float] = time.monotonic

    @contextlib.contextmanager
    def hold_claim(self, team: str, key: str | None, request_id: str) -> Iterator[None]:
        """Hold a claim on ``key``; release it if the request did not run.

        :param key: the idempotency key; without one (``None``) no claim is made.
        :raises AlreadyClaimedError: if an earlier request holds the key.
        :raises ClaimUnavailableError: if the claim could not be recorded.
        """
        if key is None:
            yield
            return
        if self.claims is None:
            raise ClaimUnavailableError(key, "no log service is configured")
        claim = self.claims.claim(team, key, request_id)
        try:
            yield
        except KumquatseamError as error:
            if not may_have_run(error):
                self.claims.release(claim)
            raise
