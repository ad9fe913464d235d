"""One entry of the instance list."""

import attrs

LIVE = "live"
LEAVING = "leaving"


@attrs.frozen
class Instance:
    """A process in the instance list.

    :param name: its name.
    :param kind: ``"engine"``, ``"service"`` or ``"router"``.
    :param address: its HTTP URL, or its nng address if it is a router.
    :param zone: its availability zone.
    :param state: :data:`LIVE` or :data:`LEAVING`.
    """

    name: str
    kind: str
    address: str
    zone: str
    state: str = LIVE
