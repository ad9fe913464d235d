"""A request that was admitted."""

import time

import attrs

from kumquatseam.gateway._call import Call
from kumquatseam.http1 import Request
from kumquatseam.routes import Route, RouteTable, ServiceTraits, TeamTraits


@attrs.frozen
class Job:
    """A request that may be served.

    :param request: the request as read.
    :param call: what it asks for.
    :param route: its route.
    :param service: the service that takes it.
    :param team: its team, if any.
    :param end_s: monotonic time by which it needs its final answer.
    :param table: the configuration that admitted it.
    :param fingerprint: what it has in common with its repeats.
    :param is_over_quota: its team is over its quota; it runs if nobody has to wait
        for it.
    """

    request: Request
    call: Call
    route: Route
    service: ServiceTraits
    team: TeamTraits | None
    end_s: float
    table: RouteTable
    fingerprint: str = ""
    is_over_quota: bool = False

    @property
    def remaining_s(self) -> float:
        """Time left until its final answer is due."""
        return self.end_s - time.monotonic()
