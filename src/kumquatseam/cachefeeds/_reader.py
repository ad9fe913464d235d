"""Asking one holder what it keeps, again and again."""

from collections.abc import Callable

import gevent

from kumquatseam.cachefeeds._client import CacheClient, CacheHolder, CacheListing
from kumquatseam.logs import part_logger
from kumquatseam.loops import BackgroundTask
from kumquatseam.prompts import HolderUpdate

_log = part_logger("cache")

#: how long one question waits for something new; the platform allows a second,
#: and prices questions that wait less than a fifth of one.
WAIT_S = 0.9
#: pause between two questions. Engines' events lag by a tenth of a second, and
#: what is new in half a second is at most a tenth of an engine's memory.
PAUSE_S = 0.4
#: pause after a question that nobody answered.
FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 4.0
#: listings stop an engine's work for a moment, so gaps in a row wait for one.
LIST_PAUSE_S = 3.0


class HolderReader(BackgroundTask):
    """Follows one holder's cache events.

    :param holder: the holder.
    :param client: asks it.
    :param publish: called with each update, also with empty ones.
    :param resume: the last update known of it, to go on from.
    :param sleep: waits; replaced in tests.
    """

    def __init__(
        self,
        holder: CacheHolder,
        client: CacheClient,
        publish: Callable[[HolderUpdate], None],
        resume: HolderUpdate | None = None,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        super().__init__()
        self._holder = holder
        self._client = client
        self._publish = publish
        self._epoch = resume.epoch if resume else None
        self._since = resume.next_number if resume else None
        self._sleep = sleep
        self._failures = 0

    def _run(self) -> None:
        while True:
            try:
                pause_s = self.step()
            except Exception:  # noqa: BLE001 - logged; nobody else would notice
                _log.bind(holder=self._holder.holder).exception("A step failed.")
                pause_s = MAX_FAILURE_PAUSE_S
            self._sleep(pause_s)

    def step(self) -> float:
        """Ask once; return how long to pause before the next question."""
        if self._since is None:
            return self._list()
        page = self._client.read_events(self._holder, self._since, WAIT_S)
        if page is None:
            return self._note_failure()
        self._failures = 0
        if page.has_gap or page.epoch != self._epoch or self._is_other(page):
            _log.bind(
                holder=self._holder.holder,
                epoch=page.epoch,
                known_epoch=self._epoch,
                has_gap=page.has_gap,
            ).info("Events of a holder are missing.")
            self._since = None
            return 0.0
        self._take(page, is_whole=False)
        return PAUSE_S

    def _list(self) -> float:
        listing = self._client.list_parts(self._holder)
        if listing is None or self._is_other(listing):
            return self._note_failure()
        self._failures = 0
        self._epoch = listing.epoch
        self._take(listing, is_whole=True)
        _log.bind(
            holder=self._holder.holder,
            epoch=listing.epoch,
            parts=len(listing.parts),
            tokens=sum(part.tokens for part in listing.parts),
        ).info("A holder listed what it keeps.")
        return PAUSE_S

    def _take(self, found: CacheListing, is_whole: bool) -> None:
        self._since = found.next_number
        self._publish(
            HolderUpdate(
                self._holder.holder,
                found.epoch,
                found.next_number,
                found.parts,
                is_whole,
            )
        )

    def _is_other(self, found: CacheListing) -> bool:
        """Return whether another incarnation than the one expected answered."""
        born_ms = self._holder.born_ms
        return bool(born_ms) and found.born_ms not in (0, born_ms)

    def _note_failure(self) -> float:
        self._failures += 1
        doubled_s = FAILURE_PAUSE_S * 2 ** (self._failures - 1)
        return min(doubled_s, MAX_FAILURE_PAUSE_S)
