"""Serving a call to a plain service.

A call whose method is repeatable may be sent to a second replica after any
failure; any other is sent on only if it provably did not run, and with an
idempotency key it is claimed in the log first.
"""

import itertools
import time
from collections.abc import Callable

from kumquatseam.admission import RetryBudget, TeamLimiter
from kumquatseam.errors import (
    ClaimUnavailableError,
    KumquatseamError,
    NoUpstreamError,
    RetryBudgetError,
    UpstreamError,
)
from kumquatseam.idempotency import ClaimLedger
from kumquatseam.logs import part_logger
from kumquatseam.routing import HeldOut
from kumquatseam.services import ServiceAnswer, ServiceCall, ServiceClient
from kumquatseam.serving._refusals import may_have_run
from kumquatseam.serving._running import RunningRequest, RunningRequests
from kumquatseam.settings import AdmissionSettings, ServiceSettings, TeamSettings

_log = part_logger("services")

#: how long a replica that failed a call stays out of the choice.
FAILED_REPLICA_HOLD_S = 1.0


class ServiceServer:
    """Serves calls on plain services.

    :param services: talks to them.
    :param claims: keeps claims; ``None`` without a log service.
    :param limiter: bounds what teams have running.
    :param retry_budget: bounds retries.
    :param admission: the number of attempts.
    :param running: told what runs where.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        services: ServiceClient,
        claims: ClaimLedger | None,
        limiter: TeamLimiter,
        retry_budget: RetryBudget,
        admission: AdmissionSettings,
        running: RunningRequests,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._services = services
        self._claims = claims
        self._limiter = limiter
        self._retry_budget = retry_budget
        self._admission = admission
        self._running = running
        self._clock = clock
        self._turn = itertools.count()
        self._held_out = HeldOut(FAILED_REPLICA_HOLD_S)

    def serve(
        self,
        team: TeamSettings,
        service: ServiceSettings,
        call: ServiceCall,
        idempotency_key: str | None,
    ) -> ServiceAnswer:
        """Return the whole answer to ``call``.

        :raises KumquatseamError: the typed failure that ended it;
            :func:`~kumquatseam.serving.may_have_run` tells what it promises.
        """
        self._retry_budget.note_request()
        repeatable = call.method in service.repeatable_methods
        with self._limiter.running_request(team):
            try:
                if idempotency_key is None:
                    return self._attempt_all(team, service, call, repeatable)
                return self._serve_claimed(team, service, call, idempotency_key)
            finally:
                self._running.remove(call.request_id)

    def _serve_claimed(
        self,
        team: TeamSettings,
        service: ServiceSettings,
        call: ServiceCall,
        key: str,
    ) -> ServiceAnswer:
        if self._claims is None:
            raise ClaimUnavailableError(key, "no log service is configured")
        claim = self._claims.claim(team.name, key, call.request_id)
        try:
            return self._attempt_all(team, service, call, repeatable=False)
        except KumquatseamError as error:
            if not may_have_run(error):
                self._claims.release(claim)
            raise

    def _attempt_all(
        self,
        team: TeamSettings,
        service: ServiceSettings,
        call: ServiceCall,
        repeatable: bool,
    ) -> ServiceAnswer:
        started = False
        excluded: set[str] = set()
        for attempt in itertools.count(1):
            url = self._choose(service, excluded)
            if url is None:
                if started:
                    raise UpstreamError(service.name, True, "no replica left")
                raise NoUpstreamError(team.name, service.name)
            _log.info(
                "request={} team={} service={} replica={} attempt={}",
                call.request_id,
                team.name,
                service.name,
                url,
                attempt,
            )
            self._running.put(
                RunningRequest(
                    call.request_id, team.name, service.name, url, "", self._clock()
                )
            )
            try:
                return self._services.call(url, call)
            except UpstreamError as error:
                started |= error.started
                excluded.add(url)
                self._held_out.hold(url, self._clock())
                last_attempt = attempt >= self._admission.max_attempts
                if last_attempt or (started and not repeatable):
                    raise UpstreamError(url, started, error.detail) from error
                if not self._retry_budget.take():
                    raise RetryBudgetError(url, started) from error

    def _choose(self, service: ServiceSettings, excluded: set[str]) -> str | None:
        """Return the next replica in turn, one that failed lately last."""
        now_s = self._clock()
        open_urls = [url for url in service.urls if url not in excluded]
        if not open_urls:
            return None
        sound = [url for url in open_urls if not self._held_out.holds(url, now_s)]
        choices = sound or open_urls
        return choices[next(self._turn) % len(choices)]
