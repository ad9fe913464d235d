"""Error responses of the router itself, and whether the request may have run."""

import enum
import json

import attrs

from kumquatseam.errors import KumquatseamError


class Reason(enum.Enum):
    """Why the router itself responds to a request."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    MALFORMED = "malformed"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    ALL_REFUSED = "all_refused"
    BUDGET_SPENT = "retry_budget_spent"
    TIMED_OUT = "timed_out"
    INTERRUPTED = "answer_broken"
    QUARANTINED = "quarantined"
    OVER_QUOTA = "over_quota"
    LIMITS_USED_UP = "limits_used_up"
    UPSTREAMS_FULL = "upstreams_full"
    RESTING = "upstreams_resting"
    ORIGIN_UNKNOWN = "stream_origin_unknown"
    VERSION_GONE = "software_version_gone"
    STOPPING = "stopping"
    INTERNAL_ERROR = "internal_fault"


@attrs.define(frozen=True, eq=False)
class RefusedError(KumquatseamError):
    """A request that ends with an error response of the router itself.

    :param status: 503 and 429 guarantee that it has not run and never will; 502 and
        504 mean that it may have run.
    :param reason: why.
    :param retry_after_s: Retry-After value, if a retry can succeed.
    :param detail: inputs of the decision, for the log.
    """

    status: int
    reason: Reason
    retry_after_s: float | None = None
    detail: str = ""

    def __str__(self) -> str:
        return f"gateway: {self.status} {self.reason.value}: {self.detail}"

    @property
    def is_not_run(self) -> bool:
        """Whether the request has not run and never will."""
        return self.status in (429, 503)

    def fields(self) -> list[tuple[bytes, bytes]]:
        """Return the response's header fields."""
        fields = [(b"Content-Type", b"application/json")]
        if self.retry_after_s is not None:
            fields.append((b"Retry-After", b"%.2f" % self.retry_after_s))
        return fields

    def body(self) -> bytes:
        """Return the response's body."""
        return json.dumps({"error": self.reason.value}).encode()
