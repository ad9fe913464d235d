"""Whom this instance asks what it keeps, and what others tell of the rest."""

import collections
import time
from collections.abc import Callable, Collection, Mapping, Sequence

import attrs
import xxhash

from kumquatseam.cachefeeds._client import CacheClient, CacheHolder
from kumquatseam.cachefeeds._messages import IndexAnswer, IndexQuestion
from kumquatseam.cachefeeds._reader import HolderReader
from kumquatseam.logs import part_logger
from kumquatseam.peers import HeldNews
from kumquatseam.prompts import HeldPart, HolderUpdate, PromptIndex

_log = part_logger("cache")

#: a holder nobody told of for this long has no reader any more; a reader asks
#: at least every 1.3 s.
FRESH_S = 3.0
#: seconds that the next instances in order wait one after the other, so that
#: one of them begins and the others hear of it.
STEP_S = 0.7
#: parts shorter than this share of an engine's memory are not told: reading them
#: again costs less than telling all instances.
MIN_SENT_PART_SHARE = 1 / 512
#: updates told in one summary at most.
MAX_TOLD_UPDATES = 16
#: updates remembered for being told; a summary goes out long before.
MAX_FRESH = 256


class CacheFeeds(HeldNews):
    """Keeps the index in step with what holders say.

    :param client: asks holders.
    :param index: takes in what they keep.
    :param name: this instance.
    :param list_holders: returns every engine and store in use.
    :param list_instances: returns the names of the instances that are not known
        to be away, this one included; empty while that is not known yet.
    :param min_tokens: returns the length from which on parts are told.
    :param clock: monotonic clock in seconds.
    :param build_reader: builds what asks one holder.
    :param list_tracked: returns the holders that this instance tracks for all
        others in a large fleet, and asks alone; ``None`` in a small one, where
        everyone is told what holders keep.
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
        build_reader: Callable[..., HolderReader] = HolderReader,
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
        self._build_reader = build_reader
        self._readers: dict[str, HolderReader] = {}
        self._known: dict[str, HolderUpdate] = {}
        self._heard_s: dict[str, float] = {}
        self._fresh: collections.deque[HolderUpdate] = collections.deque(
            maxlen=MAX_FRESH
        )

    @property
    def asked_holders(self) -> set[str]:
        """The holders that this instance asks."""
        return set(self._readers)

    def start(self) -> None:
        """Readers begin with :meth:`step`."""

    def close(self) -> None:
        """Stop asking."""
        for reader in self._readers.values():
            reader.close()
        self._readers.clear()

    def step(self) -> None:
        """Begin to ask holders that nobody else asks, and stop with others."""
        holders = {holder.holder: holder for holder in self._list_holders()}
        for name in set(self._readers) - set(holders):
            self._readers.pop(name).close()
        for name in set(self._known) - set(holders):
            del self._known[name]
            self._heard_s.pop(name, None)
        tracked = self._list_tracked()
        if tracked is not None:
            self._follow_only(holders, tracked)
            return
        for name, holder in holders.items():
            self._choose(name, holder)

    def _follow_only(
        self, holders: Mapping[str, CacheHolder], tracked: Collection[str]
    ) -> None:
        """Ask the holders that are tracked here, and forget all others.

        What an instance keeps is bounded by its share of the holders then. One
        that comes back to it is listed anew, since events alone do not say what
        was kept before.
        """
        for name in set(self._readers) - set(tracked):
            self._readers.pop(name).close()
            self._known.pop(name, None)
            self._index.forget(name)
        for name in set(tracked) & set(holders) - set(self._readers):
            self._begin_to_ask(name, holders[name])

    def take_fresh(self) -> list[HolderUpdate]:
        """Return updates that the other instances were not yet told of."""
        count = min(MAX_TOLD_UPDATES, len(self._fresh))
        return [self._fresh.popleft() for _ in range(count)]

    def take_update(self, update: HolderUpdate) -> None:
        """Take in what another instance was told by a holder."""
        self._heard_s[update.holder] = self._clock()
        known = self._known.get(update.holder)
        is_same_epoch = known is not None and known.epoch == update.epoch
        if is_same_epoch and update.next_number < known.next_number:
            return
        self._known[update.holder] = attrs.evolve(update, parts=())
        self._index.apply_holder_report(update.holder, update.parts, update.is_whole)

    def answer(self, question: IndexQuestion) -> IndexAnswer:
        """Return all that is known, for an instance that starts."""
        return IndexAnswer(
            tuple(
                HolderUpdate(
                    name,
                    update.epoch,
                    update.next_number,
                    self._worth_telling(self._index.held_parts(name), True),
                    is_whole=True,
                )
                for name, update in self._known.items()
            )
        )

    def take_answer(self, answer: IndexAnswer) -> None:
        """Take in what another instance knows."""
        for update in answer.holders:
            if update.holder not in self._known:
                self.take_update(update)
        _log.bind(holders=len(answer.holders)).info(
            "Learnt what holders keep from another instance."
        )

    def _choose(self, name: str, holder: CacheHolder) -> None:
        """Ask a holder if no instance before this one in its order does."""
        instances = sorted(
            self._list_instances(),
            key=lambda other: xxhash.xxh3_64_intdigest(f"{name}|{other}".encode()),
        )
        if self._name not in instances:
            return
        place = instances.index(self._name)
        reader = self._readers.get(name)
        if reader is not None:
            if place and self._clock() - self._heard_s.get(name, 0.0) < FRESH_S:
                self._readers.pop(name).close()
            return
        quiet_since_s = self._heard_s.setdefault(name, self._clock() - FRESH_S)
        if place and self._clock() - quiet_since_s < FRESH_S + place * STEP_S:
            return
        self._begin_to_ask(name, holder)

    def _begin_to_ask(self, name: str, holder: CacheHolder) -> None:
        resume = self._known.get(name)
        reader = self._build_reader(holder, self._client, self._take_own, resume)
        self._readers[name] = reader
        reader.start()

    def _take_own(self, update: HolderUpdate) -> None:
        """Take in what a holder told this instance, and tell the others."""
        self._known[update.holder] = attrs.evolve(update, parts=())
        parts = self._worth_telling(update.parts, update.is_whole)
        self._index.apply_holder_report(update.holder, update.parts, update.is_whole)
        self._fresh.append(
            HolderUpdate(
                update.holder, update.epoch, update.next_number, parts, update.is_whole
            )
        )

    def _worth_telling(
        self, parts: Sequence[HeldPart], is_whole: bool
    ) -> tuple[HeldPart, ...]:
        """Return the parts that others may ask for again.

        The last part of a prompt is one request's own; only parts that traffic
        showed to be shared are told, and of a whole listing, which may be all
        there is to know, every long one.
        """
        least = self._min_tokens()
        return tuple(
            part
            for part in parts
            if (is_whole and part.tokens >= least)
            or (not is_whole and self._index.is_held(part.salt, part.part_id))
        )
