"""The requests that every instance knows to be suspected of crashing upstreams."""

import collections
import time
from collections.abc import Callable

import attrs

from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice import KeyedListener, Learning
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._messages import RECORD_CODEC
from kumquatseam.quarantine._policy import KEEP_S, needs_trial, pause_s

_log = part_logger("quarantine")

#: requests listed for long; of more, those that were learnt of first are forgotten.
MAX_LISTED = 256


@attrs.frozen
class _Entry:
    """A request on the list.

    :param crashes: the upstreams that crashed under it.
    :param learnt_s: when this instance learnt of the last of them.
    """

    crashes: Crashes
    learnt_s: float


class SuspectList(KeyedListener):
    """Requests under which several upstreams crashed.

    It is the same everywhere but for what is still on its way: records come from
    the log service, and a little earlier from the instance that wrote them. Times
    count from when a record was learnt, so no clocks have to agree, and after a
    restart a request is refused for as long again.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._by_upstream: dict[str, set[str]] = collections.defaultdict(set)
        self._written: dict[str, Crashes] = {}
        #: whether everything that the log service keeps was taken in once.
        self.is_complete = False

    def __len__(self) -> int:
        return len(self._entries)

    def take(self, key: str, value: bytes, learning: Learning) -> bool:
        self._written.pop(key, None)
        if not value:
            # A record that the log lost is still known, and is written again.
            return not learning.is_restored and self.drop(key)
        try:
            record = RECORD_CODEC.decode(value)
        except CodecError as error:
            _log.bind(fingerprint=key, error=str(error)).warning("Record ignored.")
            return False
        self._written[key] = record.crashes
        return self.put(key, record.crashes)

    def note_synced(self) -> None:
        self.is_complete = True

    def put(self, fingerprint: str, crashes: Crashes) -> bool:
        """Take in upstreams that crashed under a request.

        :returns: whether any of them is news.
        """
        known = self.crashes(fingerprint)
        joined = known.joined(crashes)
        if joined == known:
            return False
        self._remove(fingerprint)
        self._entries[fingerprint] = _Entry(joined, self._clock())
        for upstream in joined.incarnation_ids:
            self._by_upstream[upstream].add(fingerprint)
        _log.bind(
            fingerprint=fingerprint,
            crashed=joined.upstreams,
            on_trial=joined.on_trial,
            refused_for_s=pause_s(joined),
        ).info("Request suspected.")
        return True

    def drop(self, fingerprint: str) -> bool:
        """Forget a request; return whether it was listed."""
        if not self._remove(fingerprint):
            return False
        _log.bind(fingerprint=fingerprint).info("Request no longer suspected.")
        return True

    def crashes(self, fingerprint: str) -> Crashes:
        """Return the upstreams known to have crashed under a request."""
        entry = self._entries.get(fingerprint)
        return entry.crashes if entry is not None else Crashes()

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a request may run only when it is asked for first."""
        if fingerprint not in self._entries:
            return False
        return needs_trial(self.unexplained(fingerprint, self.crashes(fingerprint)))

    def unexplained(self, fingerprint: str, crashes: Crashes) -> Crashes:
        """Return those of some crashes that speak against a request.

        A crash that another request explains better, since more speaks against that
        one, is not held against those that ran beside it.
        """
        explained = {
            upstream
            for upstream in crashes.incarnation_ids
            if self._is_explained(upstream, fingerprint, crashes)
        }
        return crashes.without(explained)

    def refused_for_s(self, fingerprint: str) -> float:
        """Return how much longer a request is refused; 0 if it may be tried."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return 0.0
        longest_s = pause_s(self.unexplained(fingerprint, entry.crashes))
        return max(0.0, entry.learnt_s + longest_s - self._clock())

    def outdated(self) -> list[str]:
        """Return the requests to forget: those learnt of long ago, and too many."""
        by_age = sorted(self._entries, key=lambda f: self._entries[f].learnt_s)
        beyond = len(by_age) - MAX_LISTED
        oldest_s = self._clock() - KEEP_S
        return [
            fingerprint
            for place, fingerprint in enumerate(by_age)
            if place < beyond or self._entries[fingerprint].learnt_s < oldest_s
        ]

    def unwritten(self) -> list[str]:
        """Return the requests of which the log service knows less than is known."""
        return [
            fingerprint
            for fingerprint, entry in self._entries.items()
            if not self._written.get(fingerprint, Crashes()).covers(entry.crashes)
        ]

    def _remove(self, fingerprint: str) -> bool:
        entry = self._entries.pop(fingerprint, None)
        if entry is None:
            return False
        for upstream in entry.crashes.incarnation_ids:
            self._by_upstream[upstream].discard(fingerprint)
            if not self._by_upstream[upstream]:
                del self._by_upstream[upstream]
        return True

    def _is_explained(self, upstream: str, fingerprint: str, crashes: Crashes) -> bool:
        return any(
            other != fingerprint and self._entries[other].crashes.outweighs(crashes)
            for other in self._by_upstream.get(upstream, ())
        )
