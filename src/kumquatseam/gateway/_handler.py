"""Serving one request: whose it is, where it goes, and how it is answered."""

import random
import time
from collections.abc import Callable

import attrs

from kumquatseam.admission import RetryBudget
from kumquatseam.gateway._call import Call
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._dialect import Dialect, MalformedCallError
from kumquatseam.gateway._exchange import Exchange
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._refusals import Reason, RefusedError
from kumquatseam.http1 import CallerLeftError, ConnectionPool, Request
from kumquatseam.logs import part_logger
from kumquatseam.metrics import GatewayMetrics
from kumquatseam.placement import Placer, WorkSource
from kumquatseam.quarantine import Quarantine, fingerprint
from kumquatseam.quotas import QuotaExceededError, QuotaGrant, TeamQuotas
from kumquatseam.rollouts import OrderClient
from kumquatseam.routes import LiveRouteTable, Route, RouteTable, TeamTraits
from kumquatseam.upstreams import UpstreamDirectory

_log = part_logger("request")

#: assumed when a caller names no deadline: the longest usual route timeout.
DEFAULT_DEADLINE_S = 30.0
#: when a caller is told to come back before the first configuration is known:
#: about the time reading it takes.
UNCONFIGURED_RETRY_S = 0.5
#: when to come back after a fault of the router's own; another instance may
#: take the request, so soon.
FAULT_RETRY_S = 0.1


@attrs.frozen
class HandlerParts:
    """What serving a request needs.

    :param live: the configuration in force.
    :param dialect: reads and writes headers.
    :param placer: chooses upstreams.
    :param directory: the upstreams.
    :param work: told of requests that are sent to them.
    :param pool: connections to them.
    :param retry_budget: returns the retry budget of a service.
    :param metrics: counters and latencies.
    :param orders: moves runs between engines.
    :param quarantine: keeps upstreams from requests that crash them.
    :param quotas: keeps teams within their quotas.
    """

    live: LiveRouteTable
    dialect: Dialect
    placer: Placer
    directory: UpstreamDirectory
    work: WorkSource
    pool: ConnectionPool
    retry_budget: Callable[[str], RetryBudget]
    metrics: GatewayMetrics
    orders: OrderClient
    quarantine: Quarantine
    quotas: TeamQuotas


class RequestHandler:
    """Serves requests, one call of :meth:`handle` each.

    :param parts: what serving needs.
    """

    def __init__(self, parts: HandlerParts) -> None:
        self._parts = parts

    def handle(
        self, request: Request, caller: CallerConnection, may_keep: Callable[[], bool]
    ) -> bool:
        """Serve ``request``; return whether the connection is still in step.

        :param may_keep: whether the connection stays open after the answer.
        :raises CallerLeftError: if the caller closed its connection.
        """
        request_id = request.headers.text(self._parts.dialect.request_id_header)
        kind, outcome = "none", "left"
        exchange = grant = None
        try:
            job = self._admit(request)
            kind = job.route.name
            grant = self._take_quota(job)
            if grant is not None and grant.is_over:
                job = attrs.evolve(job, is_over_quota=True)
            exchange = Exchange(self._parts, job, caller, may_keep)
            is_whole, outcome = exchange.run()
            return is_whole
        except RefusedError as error:
            outcome = error.reason.value
            if error.is_not_run:
                self._give_back(grant)
            return self._refuse(request_id, caller, may_keep, error)
        except CallerLeftError:
            if exchange is not None and not exchange.has_sent:
                self._give_back(grant)
            _log.bind(request=request_id).info("The caller left.")
            raise
        except Exception:  # noqa: BLE001 - logged; the caller still gets an answer
            _log.bind(request=request_id).exception("Serving failed unexpectedly.")
            outcome = Reason.FAULT.value
            fault = self._fault(exchange is not None and exchange.has_sent)
            if fault.is_not_run:
                self._give_back(grant)
            return self._refuse(request_id, caller, may_keep, fault)
        finally:
            took_s = time.monotonic() - request.received_s
            self._parts.metrics.note_request(kind, outcome, took_s)

    def _admit(self, request: Request) -> Job:
        """Return the request with its route, service and team.

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
        self._parts.retry_budget(service.name).record_request()
        deadline_s = call.deadline_s or DEFAULT_DEADLINE_S
        end_s = request.received_s + min(deadline_s, route.timeout_s)
        asked = fingerprint(
            team.name if team else "",
            request.method,
            route.host,
            request.target,
            request.body,
        )
        return Job(request, call, route, service, team, end_s, table, asked)

    def _take_quota(self, job: Job) -> QuotaGrant | None:
        """Take what a request needs of its team's quota.

        :raises RefusedError: if nothing is left.
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

    def _give_back(self, grant: QuotaGrant | None) -> None:
        """Give back what a request took that has not run."""
        if grant is not None:
            self._parts.quotas.refund(grant)

    @staticmethod
    def _fault(has_sent: bool) -> RefusedError:
        """Return the answer to a request that a fault of the router ended.

        Before anything was sent it has not run, so the caller may come back.
        """
        if has_sent:
            return RefusedError(502, Reason.FAULT)
        return RefusedError(503, Reason.FAULT, FAULT_RETRY_S, "nothing was sent")

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
        may_keep: Callable[[], bool],
        error: RefusedError,
    ) -> bool:
        _log.bind(
            request=request_id,
            status=error.status,
            reason=error.reason.value,
            retry_after_s=error.retry_after_s,
            detail=error.detail,
        ).info("Refused.")
        if caller.has_answered:
            # The answer began; all that is left is to break it off visibly.
            return False
        keep = may_keep()
        name = self._parts.dialect.request_id_header
        fields = [(name, request_id.encode("latin-1")), *error.fields()]
        if not keep:
            fields.append((b"Connection", b"close"))
        caller.send_whole(error.status, fields, error.body())
        return keep
