"""The error for connections that no other instance could open."""

import attrs

from kumquatseam.errors import KumquatseamError


@attrs.define(frozen=True, eq=False)
class NoRelayError(KumquatseamError):
    """No other instance opened a tunnel to an upstream.

    :param address: the upstream's host and port.
    :param tried: the instances that were asked, with their replies.
    """

    address: str
    tried: tuple[str, ...]

    def __str__(self) -> str:
        tried = ", ".join(self.tried) or "none is known"
        return f"relay: no instance opened a tunnel to {self.address}: {tried}"
