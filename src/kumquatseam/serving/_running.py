"""The table of running requests, for operators' queries and for draining."""

import attrs


@attrs.frozen
class RunningRequest:
    """A request that is being served.

    :param request_id: the router's id.
    :param team: the caller's team.
    :param target: the model or service.
    :param upstream: the back end it runs on.
    :param priority_class: its priority class.
    :param started_s: monotonic time at which its current attempt started.
    """

    request_id: str
    team: str
    target: str
    upstream: str
    priority_class: str
    started_s: float


class RunningRequests:
    """The requests being served, by request id."""

    def __init__(self) -> None:
        self._requests: dict[str, RunningRequest] = {}

    def put(self, request: RunningRequest) -> None:
        """Add a request, or replace its entry when it moves to another back end."""
        self._requests[request.request_id] = request

    def remove(self, request_id: str) -> None:
        """Remove a request that ended, if present."""
        self._requests.pop(request_id, None)

    def all(self) -> list[RunningRequest]:
        """Return every running request."""
        return list(self._requests.values())
