"""The list of suspected requests, shared by all instances."""

import collections
import time
from collections.abc import Callable

import attrs

from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice import ChangeContext, KeyedListener
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._messages import RECORD_CODEC
from kumquatseam.quarantine._policy import (
    SUSPECT_TTL_S,
    needs_trial,
    refusal_duration_s,
)

_log = part_logger("quarantine")

#: maximum number of requests listed; the least recently updated are evicted.
MAX_LISTED = 256


@attrs.frozen
class _Entry:
    """A suspected request.

    :param crashes: the upstreams that crashed while running it.
    :param updated_s: clock reading when this instance received the last crash.
    """

    crashes: Crashes
    updated_s: float


class SuspectList(KeyedListener):
    """Requests during which several upstreams crashed.

    The list is eventually consistent across instances: records arrive from the log
    service, and slightly earlier as a broadcast from the instance that writes them.
    Periods of refusal and expiry count from the arrival of a record, so clocks need
    not be synchronized; after a restart they begin again.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._by_upstream: dict[str, set[str]] = collections.defaultdict(set)
        self._written: dict[str, Crashes] = {}
        #: whether all records of the log service have been loaded once.
        self.is_complete = False

    def __len__(self) -> int:
        return len(self._entries)

    def apply(self, key: str, value: bytes, change_context: ChangeContext) -> bool:
        self._written.pop(key, None)
        if not value:
            # A record missing from a restored log is kept here and written again.
            return not change_context.is_restored and self.drop(key)
        try:
            record = RECORD_CODEC.decode(value)
        except CodecError as error:
            _log.bind(fingerprint=key, error=str(error)).warning("Record ignored.")
            return False
        self._written[key] = record.crashes
        return self.add_crashes(key, record.crashes)

    def note_synced(self) -> None:
        self.is_complete = True

    def add_crashes(self, fingerprint: str, crashes: Crashes) -> bool:
        """Add crashes of a request to those already known.

        :returns: whether any of them is new.
        """
        known = self.crashes(fingerprint)
        merged = known.merged(crashes)
        if merged == known:
            return False
        self._remove(fingerprint)
        self._entries[fingerprint] = _Entry(merged, self._clock())
        for upstream in merged.incarnation_ids:
            self._by_upstream[upstream].add(fingerprint)
        _log.bind(
            fingerprint=fingerprint,
            crashed=merged.upstreams,
            on_trial=merged.on_trial,
            refused_for_s=refusal_duration_s(merged),
        ).info("Request suspected.")
        return True

    def drop(self, fingerprint: str) -> bool:
        """Remove a request; return whether it was listed."""
        if not self._remove(fingerprint):
            return False
        _log.bind(fingerprint=fingerprint).info("Request no longer suspected.")
        return True

    def crashes(self, fingerprint: str) -> Crashes:
        """Return the crashes known for a request."""
        entry = self._entries.get(fingerprint)
        return entry.crashes if entry is not None else Crashes()

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a request may run only on trial."""
        if fingerprint not in self._entries:
            return False
        return needs_trial(self.unattributed(fingerprint, self.crashes(fingerprint)))

    def unattributed(self, fingerprint: str, crashes: Crashes) -> Crashes:
        """Return the crashes that are not attributed to another request.

        If several requests had just started on an upstream that crashed, the crash is
        attributed to the one with the strongest evidence against it.
        """
        explained = {
            upstream
            for upstream in crashes.incarnation_ids
            if self._is_attributed_to_other(upstream, fingerprint, crashes)
        }
        return crashes.without(explained)

    def refused_for_s(self, fingerprint: str) -> float:
        """Return the remaining time for which a request is refused, 0 if it is not."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return 0.0
        longest_s = refusal_duration_s(self.unattributed(fingerprint, entry.crashes))
        return max(0.0, entry.updated_s + longest_s - self._clock())

    def outdated(self) -> list[str]:
        """Return the requests to drop: expired ones, and the oldest over the limit."""
        by_age = sorted(self._entries, key=lambda f: self._entries[f].updated_s)
        beyond = len(by_age) - MAX_LISTED
        oldest_s = self._clock() - SUSPECT_TTL_S
        return [
            fingerprint
            for place, fingerprint in enumerate(by_age)
            if place < beyond or self._entries[fingerprint].updated_s < oldest_s
        ]

    def unwritten(self) -> list[str]:
        """Return the requests whose known crashes are not all in the log service."""
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

    def _is_attributed_to_other(
        self, upstream: str, fingerprint: str, crashes: Crashes
    ) -> bool:
        return any(
            other != fingerprint and self._entries[other].crashes.outweighs(crashes)
            for other in self._by_upstream.get(upstream, ())
        )
