"""An admitted request."""

import time

import attrs

from kumquatseam.gateway._call import Call
from kumquatseam.http1 import Request
from kumquatseam.quarantine import PromptParts
from kumquatseam.routes import Route, RouteTable, ServiceTraits, TeamTraits
from kumquatseam.upstreams import ServiceVersion


@attrs.frozen
class Job:
    """An admitted request, with the configuration that applies to it.

    :param request: the request as read.
    :param call: its decoded contents.
    :param route: its route.
    :param service: the service that serves it.
    :param team: its team, if any.
    :param end_s: its deadline, in monotonic time.
    :param table: the configuration that admitted it.
    :param fingerprint: hash that it shares with its retries by the caller.
    :param is_over_quota: whether its team is over its quota; it runs only if it
        delays no other request.
    :param origin: where the stream began that its caller takes up.
    :param origin_key: the key of that origin.
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
    origin: ServiceVersion | None = None
    origin_key: bytes = b""

    @property
    def takes_stream_up(self) -> bool:
        """Whether it goes on after the last event that its caller has."""
        return self.route.is_stream and bool(
            self.call.resumes or self.call.resume_after
        )

    @property
    def prompt_parts(self) -> PromptParts:
        """The parts of its prompt that other requests may share."""
        ids = tuple(part.part_id for part in self.call.prompt.shared)
        return PromptParts(self.service.name, ids)

    @property
    def team_name(self) -> str:
        """Name of its team; ``""`` for none."""
        return self.team.name if self.team is not None else ""

    @property
    def remaining_s(self) -> float:
        """Time left until its deadline."""
        return self.end_s - time.monotonic()

    @property
    def caller_remaining_s(self) -> float:
        """Time that its caller has left, for this attempt and its own retries."""
        if self.call.deadline_s is None:
            return self.remaining_s
        return self.request.received_s + self.call.deadline_s - time.monotonic()
