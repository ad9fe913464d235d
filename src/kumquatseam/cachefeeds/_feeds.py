"""Which holders this instance polls, and updates from others about the rest."""

import collections
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import TYPE_CHECKING

import attrs
import xxhash

from kumquatseam.cachefeeds._client import CacheClient, CacheHolder
from kumquatseam.cachefeeds._messages import IndexQuery, IndexReply
from kumquatseam.logs import part_logger
from kumquatseam.peers import HolderUpdateExchange
from kumquatseam.prompts import HeldPart, HolderUpdate, PromptIndex

if TYPE_CHECKING:
    from kumquatseam.cachefeeds._poller import HolderPoller

_log = part_logger("cache")

#: a holder without updates for this long has no polling instance any more; one polls
#: at least every 1.3 s.
POLLER_TIMEOUT_S = 3.0
#: additional delay per place in the order, so that one instance starts to poll and
#: its updates reach the others first.
STEP_S = 0.7
#: parts shorter than this share of an engine's memory are not broadcast: prefilling
#: them again costs less than notifying all instances.
MIN_SENT_PART_SHARE = 1 / 512
#: maximum number of updates in one broadcast.
MAX_UPDATES_PER_BROADCAST = 16
#: maximum number of unsent updates; broadcasts go out long before it is reached.
MAX_UNSENT = 256


def _load_poller(*arguments) -> "HolderPoller":
    """Build the poller of a holder; its code is loaded with the first one."""
    from kumquatseam.cachefeeds._poller import HolderPoller

    return HolderPoller(*arguments)


class CacheFeeds(HolderUpdateExchange):
    """Keeps the index up to date with the reports of holders.

    :param client: queries holders.
    :param index: the index of their cache contents.
    :param name: this instance.
    :param list_holders: returns every engine and store in use.
    :param list_instances: returns the names of the instances that are not known
        to be away, this one included; empty while that is not known yet.
    :param min_tokens: returns the length from which on parts of a full listing are
        sent to others.
    :param clock: monotonic clock in seconds.
    :param build_poller: builds the poller of one holder.
    :param list_tracked: returns the holders that this instance tracks, and polls
        as the only one, in a large fleet; ``None`` in a small one, where all
        instances receive the contents of all holders.
    """

    def __init__(
        self,
        client: CacheClient,
        index: PromptIndex,
        name: str,
        list_holders: Callable[[], Sequence[CacheHolder]],
        list_instances: Callable[[], Sequence[str]],
        min_tokens: Callable[[], float] = lambda: 0,
        clock: Callable[[], float] = time.monotonic,
        build_poller: Callable[..., "HolderPoller"] = _load_poller,
        list_tracked: Callable[[], Collection[str] | None] = lambda: None,
    ) -> None:
        self._list_tracked = list_tracked
        self._client = client
        self._index = index
        self._name = name
        self._list_holders = list_holders
        self._list_instances = list_instances
        self._min_tokens = min_tokens
        self._clock = clock
        self._build_poller = build_poller
        self._pollers: dict[str, HolderPoller] = {}
        self._known: dict[str, HolderUpdate] = {}
        self._last_update_s: dict[str, float] = {}
        self._unsent: collections.deque[HolderUpdate] = collections.deque(
            maxlen=MAX_UNSENT
        )

    @property
    def polled_holders(self) -> set[str]:
        """The holders that this instance polls."""
        return set(self._pollers)

    def start(self) -> None:
        """Do nothing; polling starts with :meth:`step`."""

    def close(self) -> None:
        """Stop polling."""
        for poller in self._pollers.values():
            poller.close()
        self._pollers.clear()

    def step(self) -> None:
        """Poll holders that no other instance polls, and stop polling the rest."""
        holders = {holder.holder: holder for holder in self._list_holders()}
        for name in set(self._pollers) - set(holders):
            self._pollers.pop(name).close()
        for name in set(self._known) - set(holders):
            del self._known[name]
            self._last_update_s.pop(name, None)
        tracked = self._list_tracked()
        if tracked is not None:
            self._poll_tracked(holders, tracked)
            return
        for name, holder in holders.items():
            self._update_poller(name, holder)

    def _poll_tracked(
        self, holders: Mapping[str, CacheHolder], tracked: Collection[str]
    ) -> None:
        """Poll the holders tracked here, and remove all others from the index.

        The index is then bounded by this instance's share of the holders. A holder
        assigned here again is listed again, since its events do not contain what it
        held before.
        """
        for name in set(self._pollers) - set(tracked):
            self._pollers.pop(name).close()
            self._known.pop(name, None)
            self._index.forget(name)
        for name in set(tracked) & set(holders) - set(self._pollers):
            self._start_polling(name, holders[name])

    def pop_unsent_updates(self) -> list[HolderUpdate]:
        """Return and remove updates not yet sent to the other instances."""
        count = min(MAX_UPDATES_PER_BROADCAST, len(self._unsent))
        return [self._unsent.popleft() for _ in range(count)]

    def apply_update(self, update: HolderUpdate) -> None:
        """Apply an update that another instance received from a holder."""
        self._last_update_s[update.holder] = self._clock()
        known = self._known.get(update.holder)
        is_same_epoch = known is not None and known.epoch == update.epoch
        if is_same_epoch and update.next_number < known.next_number:
            return
        self._known[update.holder] = attrs.evolve(update, parts=())
        self._index.apply_holder_report(update.holder, update.parts, update.is_whole)

    def answer(self, query: IndexQuery) -> IndexReply:
        """Return the index for an instance that starts."""
        return IndexReply(
            tuple(
                HolderUpdate(
                    name,
                    update.epoch,
                    update.next_number,
                    self._useful_to_peers(self._index.held_parts(name), True),
                    is_whole=True,
                )
                for name, update in self._known.items()
            )
        )

    def apply_reply(self, reply: IndexReply) -> None:
        """Add the holders that only the other instance knows."""
        for update in reply.holders:
            if update.holder not in self._known:
                self.apply_update(update)
        _log.bind(holders=len(reply.holders)).info(
            "Loaded the index of cache contents from another instance."
        )

    def _update_poller(self, name: str, holder: CacheHolder) -> None:
        """Poll a holder if no instance that precedes this one does.

        Each holder has its own order of instances, by rendezvous hashing.
        """
        instances = sorted(
            self._list_instances(),
            key=lambda other: xxhash.xxh3_64_intdigest(f"{name}|{other}".encode()),
        )
        if self._name not in instances:
            return
        place = instances.index(self._name)
        poller = self._pollers.get(name)
        if poller is not None:
            if (
                place
                and self._clock() - self._last_update_s.get(name, 0.0)
                < POLLER_TIMEOUT_S
            ):
                self._pollers.pop(name).close()
            return
        last_update_s = self._last_update_s.setdefault(
            name, self._clock() - POLLER_TIMEOUT_S
        )
        if place and self._clock() - last_update_s < POLLER_TIMEOUT_S + place * STEP_S:
            return
        self._start_polling(name, holder)

    def _start_polling(self, name: str, holder: CacheHolder) -> None:
        resume = self._known.get(name)
        poller = self._build_poller(holder, self._client, self._apply_own, resume)
        self._pollers[name] = poller
        poller.start()

    def _apply_own(self, update: HolderUpdate) -> None:
        """Apply a report that this instance polled, and queue it for the others."""
        self._known[update.holder] = attrs.evolve(update, parts=())
        parts = self._useful_to_peers(update.parts, update.is_whole)
        self._index.apply_holder_report(update.holder, update.parts, update.is_whole)
        self._unsent.append(
            HolderUpdate(
                update.holder, update.epoch, update.next_number, parts, update.is_whole
            )
        )

    def _useful_to_peers(
        self, parts: Sequence[HeldPart], is_whole: bool
    ) -> tuple[HeldPart, ...]:
        """Return the parts that requests of other instances may share.

        The last part of a prompt belongs to a single request. So only parts seen as
        shared in traffic are sent, and from a full listing every long part, because
        the listing may be all that the receiver knows.
        """
        min_tokens = self._min_tokens()
        return tuple(
            part
            for part in parts
            if (is_whole and part.tokens >= min_tokens)
            or (not is_whole and self._index.is_held(part.salt, part.part_id))
        )
