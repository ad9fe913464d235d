"""Polling one holder for changes of its cache contents."""

import time
from collections.abc import Callable

import gevent

from kumquatseam.cachefeeds._client import CacheClient, CacheHolder, CacheListing
from kumquatseam.logs import part_logger
from kumquatseam.loops import BackgroundTask
from kumquatseam.prompts import HolderUpdate

_log = part_logger("cache")

#: how long one poll waits for a change; the platform allows at most a second, and
#: charges for polls that wait less than a fifth of one.
WAIT_S = 0.9
#: pause between two polls. Engines' events lag by a tenth of a second anyway, and at
#: most a tenth of an engine's memory changes in half a second.
PAUSE_S = 0.4
#: pause after a poll without an answer, doubling up to the second value.
FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 4.0
#: minimum interval between full listings of one incarnation, which pause an engine's
#: work for a moment. Shorter than the time after which others take the poller for gone.
LIST_PAUSE_S = 2.0


class HolderPoller(BackgroundTask):
    """Follows one holder's cache events.

    :param holder: the holder.
    :param client: queries the holder.
    :param publish: called with each update, including empty ones.
    :param resume: the last known update of the holder, from which to continue.
    :param sleep: replaces ``gevent.sleep`` in tests.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        holder: CacheHolder,
        client: CacheClient,
        publish: Callable[[HolderUpdate], None],
        resume: HolderUpdate | None = None,
        sleep: Callable[[float], None] = gevent.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._holder = holder
        self._client = client
        self._publish = publish
        self._epoch = resume.epoch if resume else None
        self._since = resume.next_number if resume else None
        self._sleep = sleep
        self._clock = clock
        self._listed_s = float("-inf")
        self._failures = 0

    def _run(self) -> None:
        while True:
            try:
                pause_s = self.step()
            except Exception:  # noqa: BLE001 - logged, since no caller would see it
                _log.bind(holder=self._holder.holder).exception(
                    "Polling a holder failed unexpectedly."
                )
                pause_s = MAX_FAILURE_PAUSE_S
            self._sleep(pause_s)

    def step(self) -> float:
        """Poll once; return the pause before the next poll."""
        if self._since is None:
            return self._list()
        page = self._client.read_events(self._holder, self._since, WAIT_S)
        if page is None:
            return self._note_failure()
        self._failures = 0
        if (
            page.has_gap
            or page.epoch != self._epoch
            or self._is_other_incarnation(page)
        ):
            _log.bind(
                holder=self._holder.holder,
                epoch=page.epoch,
                known_epoch=self._epoch,
                has_gap=page.has_gap,
            ).info("Events of a holder are missing; listing its cache contents.")
            self._since = None
            if page.epoch != self._epoch:
                return 0.0
            return max(0.0, self._listed_s + LIST_PAUSE_S - self._clock())
        self._apply(page, is_whole=False)
        return PAUSE_S

    def _list(self) -> float:
        listing = self._client.list_parts(self._holder)
        if listing is None or self._is_other_incarnation(listing):
            return self._note_failure()
        self._failures = 0
        self._listed_s = self._clock()
        self._epoch = listing.epoch
        self._apply(listing, is_whole=True)
        _log.bind(
            holder=self._holder.holder,
            epoch=listing.epoch,
            parts=len(listing.parts),
            tokens=sum(part.tokens for part in listing.parts),
        ).info("A holder listed its cache contents.")
        return PAUSE_S

    def _apply(self, report: CacheListing, is_whole: bool) -> None:
        self._since = report.next_number
        self._publish(
            HolderUpdate(
                self._holder.holder,
                report.epoch,
                report.next_number,
                report.parts,
                is_whole,
            )
        )

    def _is_other_incarnation(self, report: CacheListing) -> bool:
        """Return whether an unexpected incarnation of the engine answered."""
        born_ms = self._holder.born_ms
        return bool(born_ms) and report.born_ms not in (0, born_ms)

    def _note_failure(self) -> float:
        self._failures += 1
        doubled_s = FAILURE_PAUSE_S * 2 ** (self._failures - 1)
        return min(doubled_s, MAX_FAILURE_PAUSE_S)
