"""Serving a call to a plain service.

A call whose method is repeatable may be sent to a second replica after any
failure; any other is sent on only if it provably did not run, and with an
idempotency key it is claimed in the log first.
"""

import itertools
import time
import urllib.parse

from kumquatseam.errors import (
    NoUpstreamError,
    RetryBudgetError,
    UpstreamError,
)
from kumquatseam.logs import part_logger
from kumquatseam.quarantine import (
    QuarantinedError,
    RunPermission,
    RunUpstream,
    fingerprint,
)
from kumquatseam.routing import FailureCooldowns
from kumquatseam.services import ServiceCall, ServiceClient, ServiceResponse
from kumquatseam.serving._parts import ServingParts
from kumquatseam.serving._running import RunningRequest
from kumquatseam.settings import ServiceSettings, TeamSettings

_log = part_logger("services")

#: how long a call under which replicas crashed is taken to run, at most.
RUN_LASTS_S = 30.0
#: a replica that crashed takes about this long to start again. Replicas say nothing
#: of their incarnation, so what is lost within this time counts as one crash.
REPLICA_START_S = 10.0


class ServiceServer:
    """Serves calls on plain services.

    :param services: talks to them.
    :param parts: what every request passes through.
    """

    def __init__(self, services: ServiceClient, parts: ServingParts) -> None:
        self._services = services
        self._parts = parts
        self._turn = itertools.count()
        self._held_out = FailureCooldowns()

    def serve(
        self,
        team: TeamSettings,
        service: ServiceSettings,
        call: ServiceCall,
        idempotency_key: str | None,
    ) -> ServiceResponse:
        """Return the whole answer to ``call``.

        :raises KumquatseamError: the typed failure that ended it;
            :func:`~kumquatseam.serving.may_have_run` tells what it promises.
        """
        parts = self._parts
        parts.retry_budget.record_request()
        is_marked = idempotency_key is not None
        repeatable = call.method in service.repeatable_methods and not is_marked
        claimed = parts.claimed(team.name, idempotency_key, call.request_id)
        with parts.limiter.running_request(team), claimed:
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
        asked = fingerprint(
            team.name, call.method.encode(), service.name, call.path.encode(), call.body
        )
        permission = RunPermission(self._parts.quarantine, asked)
        try:
            answer = self._attempt_permitted(
                team, service, call, repeatable, permission
            )
        finally:
            permission.close()
        permission.note_answered()
        return answer

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
            self._ask(permission, service, started)
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
                self._note_broken(permission, url, error)
                excluded.add(url)
                self._held_out.start(url, self._parts.clock())
                last_attempt = attempt >= self._parts.admission.max_attempts
                if last_attempt or (started and not repeatable):
                    raise UpstreamError(url, started, error.detail) from error
                if not self._parts.retry_budget.try_acquire():
                    raise RetryBudgetError(url, started) from error

    @staticmethod
    def _ask(
        permission: RunPermission, service: ServiceSettings, started: bool
    ) -> None:
        """Ask whether the call may run now.

        :raises KumquatseamError: if it may not.
        """
        try:
            permission.acquire(RUN_LASTS_S)
        except QuarantinedError as error:
            if started:
                raise UpstreamError(service.name, True, str(error)) from error
            raise

    @staticmethod
    def _note_broken(permission: RunPermission, url: str, error: UpstreamError) -> None:
        """Take in how an attempt failed; its replica may have crashed.

        :raises UpstreamError: if it was on trial, which is not tried twice.
        """
        if not error.started:
            permission.note_refused()
            return
        incarnation = f"{url}@{int(time.time() // REPLICA_START_S)}"
        address = urllib.parse.urlsplit(url).netloc
        permission.note_interrupted(RunUpstream(incarnation, address), None)
        if permission.is_trial:
            raise error

    def _choose(self, service: ServiceSettings, excluded: set[str]) -> str | None:
        """Return the next replica in turn, one that failed lately last."""
        now_s = self._parts.clock()
        open_urls = [url for url in service.urls if url not in excluded]
        if not open_urls:
            return None
        sound = [url for url in open_urls if not self._held_out.is_active(url, now_s)]
        choices = sound or open_urls
        return choices[next(self._turn) % len(choices)]
