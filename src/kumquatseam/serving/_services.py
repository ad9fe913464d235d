"""Serving of calls to plain services.

A call with a repeatable method is retried on another replica after any failure.
Any other call is retried only if it provably did not run. A call with an
idempotency key is never treated as repeatable, and is claimed in the log first.
"""

import itertools
import time
import urllib.parse
from collections.abc import Collection

from kumquatseam.errors import UpstreamsRestingError
from kumquatseam.logs import part_logger
from kumquatseam.quarantine import (
    QuarantinedError,
    RunPermission,
    RunUpstream,
    fingerprint,
)
from kumquatseam.quotas import UpstreamLimitError
from kumquatseam.request_errors import NoUpstreamError, RetryBudgetError, UpstreamError
from kumquatseam.services import ServiceCall, ServiceClient, ServiceResponse
from kumquatseam.serving._limits import (
    BackEnd,
    LimitedChooser,
    LimitedRequest,
    raise_if_run,
)
from kumquatseam.serving._parts import ServingParts
from kumquatseam.serving._running import RunningRequest
from kumquatseam.settings import ServiceSettings, TeamSettings
from kumquatseam.upstreams import FAILURE_COOLDOWN_S, Availabilities, Unavailability

_log = part_logger("services")

#: assumed maximum run time of a call that is suspected of crashing replicas.
MAX_RUN_DURATION_S = 30.0
#: approximate restart time of a crashed replica. Replicas do not report an
#: incarnation, so calls interrupted within the same interval of this length count as
#: one crash.
REPLICA_START_S = 10.0


class ServiceServer:
    """Serves calls on plain services.

    :param services: the client for service calls.
    :param parts: the dependencies shared with other servers.
    """

    def __init__(self, services: ServiceClient, parts: ServingParts) -> None:
        self._services = services
        self._parts = parts
        self._turn = itertools.count()
        self._availabilities = Availabilities(parts.clock)
        self._chooser = LimitedChooser(parts.limits)

    def serve(
        self,
        team: TeamSettings,
        service: ServiceSettings,
        call: ServiceCall,
        idempotency_key: str | None,
    ) -> ServiceResponse:
        """Return the complete response to ``call``.

        :raises KumquatseamError: the typed error that ended it;
            :func:`~kumquatseam.serving.may_have_run` tells whether it may have run.
        """
        parts = self._parts
        parts.retry_budget.record_request()
        has_key = idempotency_key is not None
        repeatable = call.method in service.repeatable_methods and not has_key
        claim = parts.hold_claim(team.name, idempotency_key, call.request_id)
        with parts.limiter.running_request(team), claim:
            try:
                return self._attempt_all(team, service, call, repeatable)
            finally:
                parts.running.remove(call.request_id)

    def _attempt_all(
        self,
        team: TeamSettings,
        service: ServiceSettings,
        call: ServiceCall,
        repeatable: bool,
    ) -> ServiceResponse:
        call_fingerprint = fingerprint(
            team.name, call.method.encode(), service.name, call.path.encode(), call.body
        )
        permission = RunPermission(self._parts.quarantine, call_fingerprint)
        try:
            response = self._attempt_permitted(
                team, service, call, repeatable, permission
            )
            if response.status >= 500:
                permission.note_refused()
        finally:
            permission.close()
        if response.status < 500:
            permission.note_answered()
        return response

    def _attempt_permitted(
        self,
        team: TeamSettings,
        service: ServiceSettings,
        call: ServiceCall,
        repeatable: bool,
        permission: RunPermission,
    ) -> ServiceResponse:
        started = False
        excluded: set[str] = set()
        for attempt in itertools.count(1):
            self._acquire_permission(permission, service, started)
            request = LimitedRequest(call.request_id, permission.fingerprint)
            url = self._choose(request, team, service, excluded, started)
            _log.info(
                "request={} team={} service={} replica={} attempt={}",
                call.request_id,
                team.name,
                service.name,
                url,
                attempt,
            )
            self._parts.running.put(
                RunningRequest(
                    call.request_id,
                    team.name,
                    service.name,
                    url,
                    "",
                    self._parts.clock(),
                )
            )
            permission.note_sent()
            try:
                return self._services.call(url, call)
            except UpstreamError as error:
                started |= error.started
                self._note_interrupted(permission, url, error)
                excluded.add(url)
                self._availabilities.of(url).set(
                    Unavailability.FAILED, FAILURE_COOLDOWN_S
                )
                last_attempt = attempt >= self._parts.admission.max_attempts
                if last_attempt or (started and not repeatable):
                    raise UpstreamError(url, started, error.detail) from error
                if not self._parts.retry_budget.try_acquire():
                    raise RetryBudgetError(url, started) from error

    @staticmethod
    def _acquire_permission(
        permission: RunPermission, service: ServiceSettings, started: bool
    ) -> None:
        """Acquire permission for the next attempt from the quarantine.

        :raises KumquatseamError: if it is refused.
        """
        try:
            permission.acquire(MAX_RUN_DURATION_S)
        except QuarantinedError as error:
            if started:
                raise UpstreamError(service.name, True, str(error)) from error
            raise

    @staticmethod
    def _note_interrupted(
        permission: RunPermission, url: str, error: UpstreamError
    ) -> None:
        """Report a failed attempt to the quarantine; the replica may have crashed.

        :raises UpstreamError: if the attempt was a trial, which is not retried.
        """
        if not error.started:
            permission.note_refused()
            return
        incarnation = f"{url}@{int(time.time() // REPLICA_START_S)}"
        address = urllib.parse.urlsplit(url).netloc
        permission.note_interrupted(RunUpstream(incarnation, address), None)
        if permission.is_trial:
            raise error

    def _choose(
        self,
        request: LimitedRequest,
        team: TeamSettings,
        service: ServiceSettings,
        excluded: set[str],
        started: bool,
    ) -> str:
        """Return a replica that has room for the call.

        :param started: whether a replica may have run it.
        :raises KumquatseamError: if there is none.
        """

        def choose(left_out: Collection[str]) -> str:
            url = self._next_replica(service, excluded.union(left_out))
            if url is None:
                raise NoUpstreamError(team.name, service.name)
            return url

        try:
            # Replicas do not report an incarnation.
            return self._chooser.choose(request, choose, lambda url: BackEnd(url, url))
        except (UpstreamLimitError, UpstreamsRestingError) as error:
            raise_if_run(error, started, service.name)
            raise
        except NoUpstreamError:
            if started:
                raise UpstreamError(service.name, True, "no replica left") from None
            raise

    def _next_replica(self, service: ServiceSettings, excluded: set[str]) -> str | None:
        """Return the next replica in round-robin order.

        Replicas that failed recently are chosen only if no other is left.
        """
        remaining = [url for url in service.urls if url not in excluded]
        if not remaining:
            return None
        healthy = [
            url
            for url in remaining
            if not self._availabilities.of(url).left_s(Unavailability.FAILED)
        ]
        choices = healthy or remaining
        return choices[next(self._turn) % len(choices)]
