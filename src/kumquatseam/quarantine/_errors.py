"""Errors of the quarantine."""

import attrs

from kumquatseam.errors import KumquatseamError


@attrs.define(frozen=True, eq=False)
class QuarantinedError(KumquatseamError):
    """The request is not run because upstreams crashed while they ran it.

    :param crashes: number of upstreams that crashed.
    :param retry_after_s: time until the request may be retried.
    """

    crashes: int
    retry_after_s: float

    def __str__(self) -> str:
        return (
            f"quarantine: {self.crashes} upstreams crashed while running this request"
        )
