"""The interface to the cache reports of engines and stores."""

import abc

import attrs

from kumquatseam.prompts import HeldPart


@attrs.frozen
class CacheHolder:
    """An engine or a store that reports its cache contents.

    :param holder: its name in the index: the id of an engine's incarnation, or a
        store's address.
    :param address: ``host:port``.
    :param upstream_id: the engine's id; ``""`` for a store.
    :param born_ms: when the engine started, as in
        :class:`~kumquatseam.upstreams.Upstream`.
    :param capacity_tokens: size of its memory; 0 if unknown.
    """

    holder: str
    address: str
    upstream_id: str = ""
    born_ms: int = 0
    capacity_tokens: int = 0


@attrs.frozen
class CacheListing:
    """The full cache contents of a holder.

    :param epoch: changes with each restart of the holder.
    :param next_number: the number of its next event.
    :param parts: the prompt parts in its cache.
    :param born_ms: when it started; 0 if not reported.
    """

    epoch: int
    next_number: int
    parts: tuple[HeldPart, ...] = ()
    born_ms: int = 0


@attrs.frozen
class CachePage(CacheListing):
    """Changes in a holder's cache since a given event.

    ``parts`` are the changed ones; 0 tokens mean an eviction.

    :param has_gap: the holder no longer has all events since then.
    """

    has_gap: bool = False


class CacheClient(abc.ABC):
    """Queries engines and stores for their cache contents."""

    def start(self) -> None:  # noqa: B027 - most open connections on demand
        """Prepare to be used."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close every idle connection."""

    @abc.abstractmethod
    def list_parts(self, holder: CacheHolder) -> CacheListing | None:
        """Return a holder's full cache contents; ``None`` if it does not answer.

        An engine pauses its work to list them, so call this rarely.
        """

    @abc.abstractmethod
    def read_events(
        self, holder: CacheHolder, since: int, wait_s: float
    ) -> CachePage | None:
        """Return the changes since event ``since``; ``None`` without an answer.

        :param wait_s: how long to wait for a change (long polling).
        """
