"""The list of suspected requests and parts, shared by all instances."""

import collections
import time
from collections.abc import Callable

import attrs

from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice import ChangeContext, KeyedListener
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._messages import RECORD_CODEC, CrashRecord
from kumquatseam.quarantine._parts import is_part
from kumquatseam.quarantine._policy import (
    MIN_SURVIVALS_PER_CRASH,
    SUSPECT_TTL_S,
    WATCHED_TTL_S,
    Evidence,
    needs_trial,
    part_needs_trial,
    refusal_duration_s,
)

_log = part_logger("quarantine")

#: maximum number of subjects listed; the least recently updated are evicted.
MAX_LISTED = 256


@attrs.frozen
class _Entry:
    """A listed request or part.

    :param evidence: what is known of it.
    :param listed_s: clock reading when this instance first knew of it.
    :param updated_s: clock reading when this instance received the last crash.
    """

    evidence: Evidence
    listed_s: float
    updated_s: float


class SuspectList(KeyedListener):
    """Requests and parts of prompts during which several upstreams crashed.

    A request is listed by its fingerprint and suspected from then on. A part is listed
    to be watched: it is suspected if enough of the runs that begin from then on crash.

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
        #: the subjects of which not all crashes are stored.
        self._full: set[str] = set()
        self._written: dict[str, CrashRecord] = {}
        #: whether all records of the log service have been loaded once.
        self.is_complete = False

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, subject: str) -> bool:
        return subject in self._entries

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
        self._written[key] = record
        # What is written has been observed for long enough.
        evidence = Evidence(record.crashes, record.survivals, record.samples)
        return self.add(key, evidence, float("-inf"))

    def note_synced(self) -> None:
        self.is_complete = True

    def add(
        self, subject: str, evidence: Evidence, listed_s: float | None = None
    ) -> bool:
        """Add evidence to what is already known of a subject.

        :param listed_s: since when it is watched; by default since now.
        :returns: whether any of the crashes is new.
        """
        entry = self._entries.get(subject)
        known = entry.evidence if entry is not None else Evidence()
        merged = known.merged(evidence)
        if merged == known:
            return False
        crashes = merged.crashes
        is_new = crashes != known.crashes or merged.samples > known.samples
        now_s = self._clock()
        if entry is None:
            entry = _Entry(known, now_s if listed_s is None else listed_s, now_s)
        self._remove(subject)
        updated_s = now_s if is_new else entry.updated_s
        entry = _Entry(merged, entry.listed_s, updated_s)
        self._entries[subject] = entry
        for upstream in crashes.incarnation_ids:
            self._by_upstream[upstream].add(subject)
        if crashes.is_full:
            self._full.add(subject)
        if is_new:
            self._log_suspicion(subject, entry.evidence)
        return is_new

    def drop(self, subject: str) -> bool:
        """Remove a subject; return whether it was listed."""
        if not self._remove(subject):
            return False
        _log.bind(fingerprint=subject).info("Request no longer suspected.")
        return True

    def evidence(self, subject: str) -> Evidence:
        """Return what is known of a subject."""
        entry = self._entries.get(subject)
        return entry.evidence if entry is not None else Evidence()

    def crashes(self, subject: str) -> Crashes:
        """Return the crashes known for a subject."""
        return self.evidence(subject).crashes

    def is_suspected(self, subject: str) -> bool:
        """Return whether a request, or requests with a part, may run only on trial."""
        entry = self._entries.get(subject)
        if entry is None:
            return False
        evidence = self._unattributed(subject, entry.evidence)
        if not is_part(subject):
            return needs_trial(evidence.crashes)
        return part_needs_trial(evidence, self._clock() - entry.listed_s)

    def is_to_be_listed(self, subject: str, evidence: Evidence) -> bool:
        """Return whether all instances should know of a subject."""
        return needs_trial(self._unattributed(subject, evidence).crashes)

    def refused_for_s(self, subject: str) -> float:
        """Return the remaining time for which a subject is refused, 0 if it is not."""
        entry = self._entries.get(subject)
        if entry is None or not self.is_suspected(subject):
            return 0.0
        crashes = self._unattributed(subject, entry.evidence).crashes
        longest_s = refusal_duration_s(crashes)
        return max(0.0, entry.updated_s + longest_s - self._clock())

    def outdated(self) -> list[str]:
        """Return the subjects to drop: expired ones, and the oldest over the limit."""
        by_age = sorted(self._entries, key=lambda s: self._entries[s].updated_s)
        beyond = len(by_age) - MAX_LISTED
        now_s = self._clock()
        return [
            subject
            for place, subject in enumerate(by_age)
            if place < beyond
            or self._entries[subject].updated_s < now_s - self._ttl_s(subject)
        ]

    def unwritten(self) -> list[str]:
        """Return the subjects of which the log service should know more."""
        return [
            subject
            for subject, entry in self._entries.items()
            if self.is_recorded(subject)
            and not self._written_crashes(subject).covers(entry.evidence.crashes)
        ]

    def is_recorded(self, subject: str) -> bool:
        """Return whether the log service should know of a subject.

        Popular parts are in many crashes; a part is written once it may be the cause.
        """
        evidence = self.evidence(subject)
        if not is_part(subject):
            return bool(evidence.crashes)
        most = evidence.sampled_crashes * MIN_SURVIVALS_PER_CRASH
        return evidence.survivals < most

    def is_written(self, subject: str) -> bool:
        """Return whether the log service knows of a subject."""
        return subject in self._written

    def _written_crashes(self, subject: str) -> Crashes:
        record = self._written.get(subject)
        return record.crashes if record is not None else Crashes()

    def _ttl_s(self, subject: str) -> float:
        """Return for how long a subject is listed after its last crash."""
        if is_part(subject) and not self.is_recorded(subject):
            return WATCHED_TTL_S
        return SUSPECT_TTL_S

    def _unattributed(self, subject: str, evidence: Evidence) -> Evidence:
        """Return the evidence without crashes that are attributed to another subject.

        If several requests had just started on an upstream that crashed, the crash is
        attributed to the subject with the strongest evidence against it.
        """
        explained = {
            upstream
            for upstream in evidence.crashes.incarnation_ids
            if self._is_attributed_to_other(upstream, subject, evidence)
        }
        return evidence.without(explained) if explained else evidence

    def _remove(self, subject: str) -> bool:
        entry = self._entries.pop(subject, None)
        if entry is None:
            return False
        self._full.discard(subject)
        for upstream in entry.evidence.crashes.incarnation_ids:
            self._by_upstream[upstream].discard(subject)
            if not self._by_upstream[upstream]:
                del self._by_upstream[upstream]
        return True

    def _is_attributed_to_other(
        self, upstream: str, subject: str, evidence: Evidence
    ) -> bool:
        others = self._by_upstream.get(upstream, set()) | self._full
        weight = _weight(subject, evidence)
        return any(
            other != subject
            and self._entries[other].evidence.crashes.may_contain(upstream)
            and _weight(other, self._entries[other].evidence) > weight
            for other in others
        )

    def _log_suspicion(self, subject: str, evidence: Evidence) -> None:
        crashes = evidence.crashes
        _log.bind(
            fingerprint=subject,
            crashed=crashes.upstreams,
            on_trial=crashes.on_trial,
            samples=evidence.sampled_crashes,
            survivals=evidence.survivals,
            is_suspected=self.is_suspected(subject),
            refused_for_s=refusal_duration_s(crashes),
        ).info("Request suspected.")


def _weight(subject: str, evidence: Evidence) -> tuple[float, int, int]:
    return evidence.weight(counts_all=not is_part(subject))
