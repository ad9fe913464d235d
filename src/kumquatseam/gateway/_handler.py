"""Serve one request: authenticate, match a route, apply quotas, forward, respond."""

import functools
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import gevent

from kumquatseam.gateway._call import Call
from kumquatseam.gateway._caller import CallerConnection, CallerTooSlowError
from kumquatseam.gateway._connection_handler import ConnectionHandler
from kumquatseam.gateway._cuts import Cut, CutBy
from kumquatseam.gateway._dialect import Dialect, MalformedCallError
from kumquatseam.gateway._exchange import Exchange
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._refusals import Reason, RefusedError
from kumquatseam.gateway._stop_clock import StopClock
from kumquatseam.http1 import CallerDisconnectedError, ConnectionPool, Request
from kumquatseam.logs import part_logger
from kumquatseam.metrics import GatewayMetrics
from kumquatseam.origins import StreamOrigins
from kumquatseam.placement import Placer, WorkSource
from kumquatseam.quarantine import Quarantine, fingerprint
from kumquatseam.quotas import (
    QuotaExceededError,
    QuotaGrant,
    RetryBudgets,
    TeamQuotas,
    UpstreamLimits,
)
from kumquatseam.rollouts import OrderClient
from kumquatseam.routes import LiveRouteTable, Route, RouteTable, TeamTraits
from kumquatseam.upstreams import UpstreamDirectory, WeightsTargets

if TYPE_CHECKING:
    from kumquatseam.gateway._processes import UpstreamProcesses

_log = part_logger("request")

#: for callers that send no deadline: the longest usual route timeout.
DEFAULT_DEADLINE_S = 30.0
#: Retry-After before the first configuration is loaded, which takes about this long.
UNCONFIGURED_RETRY_S = 0.5
#: Retry-After of a request that the router itself ends; short, since another instance
#: may serve it.
OWN_FAULT_RETRY_S = 0.1


@attrs.frozen
class HandlerParts:
    """Dependencies of a :class:`RequestHandler`.

    :param live: the configuration in force.
    :param dialect: translates the platform's headers.
    :param placer: chooses upstreams.
    :param directory: the known upstreams.
    :param work: counts the requests in flight on each upstream.
    :param pool: connections to upstreams.
    :param retries: the retry budgets of services.
    :param metrics: counters and latencies.
    :param orders: moves runs between engines.
    :param quarantine: holds back requests that crash upstreams.
    :param quotas: enforces the teams' quotas.
    :param limits: keeps the limits that upstreams announce.
    :param origins: keeps where streams began.
    :param targets: the newest weights named for each model.
    :param stop: when this instance stops.
    """

    live: LiveRouteTable
    dialect: Dialect
    placer: Placer
    directory: UpstreamDirectory
    work: WorkSource
    pool: ConnectionPool
    retries: RetryBudgets
    metrics: GatewayMetrics
    orders: OrderClient
    quarantine: Quarantine
    quotas: TeamQuotas
    limits: UpstreamLimits
    origins: StreamOrigins
    targets: WeightsTargets
    stop: StopClock = attrs.Factory(StopClock)

    @functools.cached_property
    def processes(self) -> "UpstreamProcesses":
        """Identifies upstreams; loaded with the first resumable stream."""
        from kumquatseam.gateway._processes import UpstreamProcesses

        return UpstreamProcesses(self.directory, self.orders)


class RequestHandler(ConnectionHandler):
    """Forwards requests to upstreams, one call of :meth:`handle` each.

    :param parts: dependencies.
    """

    def __init__(self, parts: HandlerParts) -> None:
        super().__init__(parts.stop)
        self._parts = parts

    def handle(
        self,
        request: Request,
        caller: CallerConnection,
        may_keep_alive: Callable[[], bool],
    ) -> bool:
        request_id = request.headers.text(self._parts.dialect.request_id_header)
        kind, outcome = "none", "left"
        exchange = grant = None
        try:
            job = self._admit(request)
            kind = job.route.name
            self._check_stop(job)
            grant = self._acquire_quota(job)
            if grant is not None and grant.is_over:
                job = attrs.evolve(job, is_over_quota=True)
            exchange = Exchange(self._parts, job, caller, may_keep_alive)
            can_reuse, outcome = exchange.run()
            return can_reuse
        except RefusedError as error:
            outcome = error.reason.value
            if error.is_not_run:
                self._refund(grant)
            elif exchange is not None:
                self._record_cut(job, exchange.cut(detail=error.detail))
            return self._refuse(request_id, caller, may_keep_alive, error)
        except CallerDisconnectedError as error:
            is_slow = isinstance(error, CallerTooSlowError)
            if exchange is not None and exchange.has_sent:
                by = CutBy.SLOW_CALLER if is_slow else CutBy.CALLER
                self._record_cut(job, exchange.cut(by))
            else:
                self._refund(grant)
            event = "The caller received too slowly." if is_slow else "The caller left."
            _log.bind(request=request_id).info(event)
            raise
        except gevent.GreenletExit:
            if exchange is not None:
                self._record_cut(job, exchange.cut(CutBy.STOP, "grace over"))
            outcome = Reason.STOPPING.value
            fault = self._own_fault(Reason.STOPPING, exchange)
            if fault.is_not_run:
                self._refund(grant)
            # A caller must be able to tell this from a lost connection.
            return self._refuse(request_id, caller, may_keep_alive, fault)
        except Exception:  # noqa: BLE001 - logged; the caller still gets a response
            _log.bind(request=request_id).exception("Serving failed unexpectedly.")
            outcome = Reason.INTERNAL_ERROR.value
            fault = self._own_fault(Reason.INTERNAL_ERROR, exchange)
            if fault.is_not_run:
                self._refund(grant)
            else:
                self._record_cut(job, exchange.cut(CutBy.INTERNAL_ERROR))
            return self._refuse(request_id, caller, may_keep_alive, fault)
        finally:
            took_s = time.monotonic() - request.received_s
            self._parts.metrics.record_request(kind, outcome, took_s)

    def _admit(self, request: Request) -> Job:
        """Authenticate the request, and return it with its route, service and team.

        :raises RefusedError: if it may not be served.
        """
        table = self._parts.live.current
        if table is None:
            raise RefusedError(503, Reason.NO_CONFIGURATION, UNCONFIGURED_RETRY_S)
        call = self._read_call(request)
        route = table.match(request.headers.text(b"host"), request.path)
        if route is None:
            raise RefusedError(404, Reason.NO_ROUTE, detail=f"v{table.version}")
        team = self._authenticate(table, route, call)
        service = table.service(route.service_for(random.random()))
        if service is None:
            raise RefusedError(503, Reason.NO_UPSTREAM, 1.0, "service not configured")
        deadline_s = call.deadline_s or DEFAULT_DEADLINE_S
        end_s = request.received_s + min(deadline_s, route.timeout_s)
        request_fingerprint = fingerprint(
            team.name if team else "",
            request.method,
            route.host,
            request.target,
            request.body,
        )
        job = Job(
            request, call, route, service, team, end_s, table, request_fingerprint
        )
        if job.takes_stream_up:
            job = self._bind_to_origin(job)
        self._parts.retries.record_request(job.service.name)
        return job

    def _bind_to_origin(self, job: Job) -> Job:
        """Return a request that takes a stream up, with where that began.

        :raises RefusedError: if it cannot go on.
        """
        from kumquatseam.gateway._resumption import StreamResumption

        return StreamResumption(self._parts.origins, self._parts.directory).bind(job)

    def _record_cut(self, job: Job, cut: Cut) -> None:
        """Record an accepted request that ended without a complete response."""
        from kumquatseam.gateway._cut_record import record_cut

        record_cut(self._parts, job, cut)

    def _check_stop(self, job: Job) -> None:
        """Check that a request can be finished before this instance stops.

        :raises RefusedError: if it may take longer.
        """
        allowed_s = self._parts.metrics.allowed_s(job.route.name)
        self.stop_clock.check(job.request.complete_s, job.end_s, allowed_s)

    def _acquire_quota(self, job: Job) -> QuotaGrant | None:
        """Charge the request to its team's quota, if there is one.

        :raises RefusedError: if the quota is exhausted.
        """
        if job.team is None or job.team.quota is None:
            return None
        call = job.call
        tokens = call.tokens if call.states_tokens else None
        try:
            return self._parts.quotas.acquire(
                job.team, tokens, job.table.version, call.request_id
            )
        except QuotaExceededError as error:
            raise RefusedError(
                429, Reason.OVER_QUOTA, error.retry_after_s, str(error)
            ) from error

    def _refund(self, grant: QuotaGrant | None) -> None:
        """Refund the quota of a request that has not run."""
        if grant is not None:
            self._parts.quotas.refund(grant)

    @staticmethod
    def _own_fault(reason: Reason, exchange: Exchange | None) -> RefusedError:
        """Return the response to a request that the router itself ends.

        If nothing was sent, the request has not run, so the caller may retry it.
        """
        if exchange is not None and exchange.has_sent:
            return RefusedError(502, reason)
        return RefusedError(503, reason, OWN_FAULT_RETRY_S, "nothing was sent")

    def _read_call(self, request: Request) -> Call:
        try:
            return self._parts.dialect.read_call(request)
        except MalformedCallError as error:
            raise RefusedError(400, Reason.MALFORMED, detail=str(error)) from error

    def _authenticate(
        self, table: RouteTable, route: Route, call: Call
    ) -> TeamTraits | None:
        team = table.team_for_key(call.key) if call.key else None
        if team is None and table.teams and not route.is_public:
            raise RefusedError(401, Reason.UNKNOWN_KEY, detail=f"v{table.version}")
        return team

    def _refuse(
        self,
        request_id: str,
        caller: CallerConnection,
        may_keep_alive: Callable[[], bool],
        error: RefusedError,
    ) -> bool:
        _log.bind(
            request=request_id,
            status=error.status,
            reason=error.reason.value,
            retry_after_s=error.retry_after_s,
            detail=error.detail,
        ).info("Refused.")
        if caller.phase.has_begun:
            # Part of the response was sent: closing the connection shows the caller
            # that it is incomplete.
            return False
        keep = may_keep_alive()
        name = self._parts.dialect.request_id_header
        fields = [(name, request_id.encode("latin-1")), *error.fields()]
        if not keep:
            fields.append((b"Connection", b"close"))
        caller.send_response(error.status, fields, error.body())
        return keep
