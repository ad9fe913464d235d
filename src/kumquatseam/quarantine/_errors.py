"""Errors of the quarantine."""

import attrs

from kumquatseam.errors import KumquatseamError


@attrs.define(frozen=True, eq=False)
class QuarantinedError(KumquatseamError):
    """The request is not run because upstreams crashed while they ran it.

    :param crashes: number of upstreams that crashed.
    :param retry_after_s: time until the request may be retried.
    :param part: the part of its prompt under which they crashed; ``""`` if it was the
        whole request.
    """

    crashes: int
    retry_after_s: float
    part: str = ""

    def __str__(self) -> str:
        what = f"requests with {self.part}" if self.part else "this request"
        return f"quarantine: {self.crashes} upstreams crashed while running {what}"
