"""One entry of the instance list."""

import attrs

LIVE = "live"
LEAVING = "leaving"


@attrs.frozen
class Instance:
    """A process the platform lists.

    :param name: its name.
    :param kind: ``"engine"``, ``"service"`` or ``"router"``.
    :param address: where it is reached (HTTP URL, or nng for routers).
    :param zone: its availability zone.
    :param state: :data:`LIVE` or :data:`LEAVING`.
    """

    name: str
    kind: str
    address: str
    zone: str
    state: str = LIVE
