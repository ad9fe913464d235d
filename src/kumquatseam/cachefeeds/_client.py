"""The interface to what engines and stores say that they keep."""

import abc

import attrs

from kumquatseam.prompts import HeldPart


@attrs.frozen
class CacheHolder:
    """An engine or a store that can be asked.

    :param holder: its name in the index: an incarnation, or a store's address.
    :param address: ``host:port``.
    :param upstream_id: the engine's id; ``""`` for a store.
    :param born_ms: when the engine started, as in
        :class:`~kumquatseam.upstreams.Upstream`.
    """

    holder: str
    address: str
    upstream_id: str = ""
    born_ms: int = 0


@attrs.frozen
class CacheListing:
    """Everything that a holder keeps.

    :param epoch: changes whenever the holder restarts.
    :param next_number: the number of its next event.
    :param parts: what it keeps.
    :param born_ms: when it started; 0 if it does not say.
    """

    epoch: int
    next_number: int
    parts: tuple[HeldPart, ...] = ()
    born_ms: int = 0


@attrs.frozen
class CachePage(CacheListing):
    """What changed at a holder since an event.

    :param has_gap: events in between are no longer known.
    """

    has_gap: bool = False


class CacheClient(abc.ABC):
    """Asks engines and stores what they keep."""

    @abc.abstractmethod
    def list_parts(self, holder: CacheHolder) -> CacheListing | None:
        """Return everything a holder keeps; ``None`` if it does not say.

        An engine stops its work for it, so ask seldom.
        """

    @abc.abstractmethod
    def read_events(
        self, holder: CacheHolder, since: int, wait_s: float
    ) -> CachePage | None:
        """Return what changed since event ``since``; ``None`` if nobody says.

        :param wait_s: how long to wait if nothing has changed yet.
        """
