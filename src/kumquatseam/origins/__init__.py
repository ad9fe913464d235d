"""Which software version began a stream, known to the whole fleet.

Replicas of several software versions may serve one service, and a stream goes on only
at the version that began it, in one answer or over the attempts of its caller.

- :class:`StreamOrigins` keeps what began each stream at a few instances, and finds it.
- :mod:`kumquatseam.origins.keys` names a stream by its team and its caller's first
  attempt, and :mod:`kumquatseam.origins.search` asks for what began it. They are not
  imported here, since no start needs them.
"""

from kumquatseam.origins._messages import DATAGRAM_KINDS
from kumquatseam.origins._origins import (
    SWEEP_INTERVAL_S,
    OriginParts,
    StreamOrigins,
)

__all__ = [
    "DATAGRAM_KINDS",
    "SWEEP_INTERVAL_S",
    "OriginParts",
    "StreamOrigins",
]
