"""Crash counts and trials of the requests that this instance owns."""

import collections
import time
from collections.abc import Callable

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._policy import Evidence

_log = part_logger("quarantine")

#: maximum number of requests counted; the one that crashed least recently is evicted.
MAX_COUNTED = 4096
#: newest sampled crashes of a part that are told apart.
MAX_SAMPLED = 64
#: expiry of a count, so that unrelated crashes do not add up: upstreams crash now
#: and then, and some request has always just started on them.
COUNT_TTL_S = 600.0
#: retry delay while another trial is in progress; most runs end within it.
BUSY_RETRY_S = 1.0
#: pause after a trial that an upstream refused or failed, which shows nothing, and how
#: it grows with each of them.
RETRIAL_PAUSE_S = 2.0
RETRIAL_PAUSE_FACTOR = 4.0
MAX_RETRIAL_PAUSE_S = 30.0


@attrs.define
class _CountedRequest:
    """Crashes counted for one request.

    :param first_crash_s: clock reading when the first crash was reported.
    :param last_crash_s: clock reading when the last new crash was reported.
    :param crashes: all crashes known when the last report was counted.
    :param sampled: the upstreams of the newest sampled crashes, the oldest first.
    :param samples: number of sampled crashes.
    :param inconclusive: number of trials since the last crash that showed nothing.
    """

    first_crash_s: float
    last_crash_s: float
    crashes: Crashes = Crashes()
    sampled: collections.deque[str] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_SAMPLED)
    )
    samples: int = 0
    inconclusive: int = 0


@attrs.frozen
class TrialDecision:
    """Whether a trial of a request may start now.

    :param is_granted: whether it may start.
    :param wait_s: time to wait before asking again, if not granted.
    """

    is_granted: bool
    wait_s: float = 0.0


class CrashRegistry:
    """Crashes and trials of the requests that this instance owns.

    Rendezvous hashing makes all instances contact the same owner. While their
    views of the fleet differ, two trials of a request may run at once.

    :param suspects: the suspected requests known to all instances.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self, suspects: SuspectList, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._suspects = suspects
        self._clock = clock
        self._counted: collections.OrderedDict[str, _CountedRequest] = (
            collections.OrderedDict()
        )
        self._trial_deadlines_s: dict[str, float] = {}
        self._retrials_s: dict[str, float] = {}

    def note_crashes(
        self, fingerprint: str, crashes: Crashes, sampled: str = ""
    ) -> bool:
        """Count upstreams that crashed while running a request.

        :param sampled: the upstream of the newest crash, if that is sampled.
        :returns: whether the request is now suspected, or the part is watched, and must
            be broadcast.
        """
        self._expire()
        now_s = self._clock()
        known = self.crashes(fingerprint)
        entry = self._counted.setdefault(fingerprint, _CountedRequest(now_s, now_s))
        entry.crashes = known.merged(crashes)
        is_new_sample = bool(sampled) and sampled not in entry.sampled
        if is_new_sample:
            entry.sampled.append(sampled)
            entry.samples = self.samples(fingerprint) + 1
        if entry.crashes != known or is_new_sample:
            entry.last_crash_s = now_s
            entry.inconclusive = 0
            # Sorted by the last new crash, in which order counts expire.
            self._counted.move_to_end(fingerprint)
            self._trial_deadlines_s.pop(fingerprint, None)
            _log.bind(
                fingerprint=fingerprint,
                crashed=entry.crashes.upstreams,
                on_trial=entry.crashes.on_trial,
                sampled=entry.crashes.sampled,
            ).info("Crash counted.")
        while len(self._counted) > MAX_COUNTED:
            self._counted.popitem(last=False)
        is_covered = self._suspects.crashes(fingerprint).covers(entry.crashes)
        if is_covered and not is_new_sample:
            return False
        survivals = self._suspects.evidence(fingerprint).survivals
        return self._suspects.is_to_be_listed(
            fingerprint, Evidence(entry.crashes, survivals, entry.samples)
        )

    def samples(self, fingerprint: str) -> int:
        """Return the number of sampled crashes known for a part."""
        entry = self._counted.get(fingerprint)
        counted = entry.samples if entry is not None else 0
        return max(counted, self._suspects.evidence(fingerprint).sampled_crashes)

    def crashes(self, fingerprint: str) -> Crashes:
        """Return all crashes known for a request, broadcast or only counted here."""
        entry = self._counted.get(fingerprint)
        counted = entry.crashes if entry is not None else Crashes()
        return self._suspects.crashes(fingerprint).merged(counted)

    def first_crash_ago_s(self, fingerprint: str) -> float:
        """Return the time since the first report; 0 if no crash is counted here."""
        entry = self._counted.get(fingerprint)
        return self._clock() - entry.first_crash_s if entry is not None else 0.0

    def try_start_trial(self, fingerprint: str, max_duration_s: float) -> TrialDecision:
        """Start a trial of a suspected request unless one runs or it is refused.

        :param max_duration_s: time after which the trial counts as ended.
        """
        now_s = self._clock()
        refused_for_s = self._suspects.refused_for_s(fingerprint)
        if refused_for_s > 0:
            return TrialDecision(False, refused_for_s)
        left_s = self._trial_deadlines_s.get(fingerprint, 0.0) - now_s
        if left_s > 0:
            return TrialDecision(False, min(left_s, BUSY_RETRY_S))
        paused_for_s = self._retrials_s.get(fingerprint, 0.0) - now_s
        if paused_for_s > 0:
            return TrialDecision(False, paused_for_s)
        self._trial_deadlines_s[fingerprint] = now_s + max_duration_s
        return TrialDecision(True)

    def end_trial(self, fingerprint: str, has_arrived: bool = False) -> None:
        """Record that a trial ended without a crash.

        :param has_arrived: whether it was sent to an upstream that did not run it; then
            the next one has to wait.
        """
        self._trial_deadlines_s.pop(fingerprint, None)
        entry = self._counted.get(fingerprint)
        if not has_arrived or entry is None:
            return
        pause_s = RETRIAL_PAUSE_S * RETRIAL_PAUSE_FACTOR**entry.inconclusive
        entry.inconclusive += 1
        self._retrials_s[fingerprint] = self._clock() + min(
            pause_s, MAX_RETRIAL_PAUSE_S
        )

    def clear(self, fingerprint: str) -> None:
        """Drop the crashes of a request; one that was served crashes no upstream."""
        self._counted.pop(fingerprint, None)
        self._trial_deadlines_s.pop(fingerprint, None)
        self._retrials_s.pop(fingerprint, None)

    def _expire(self) -> None:
        now_s = self._clock()
        oldest_s = now_s - COUNT_TTL_S
        for fingerprint, entry in list(self._counted.items()):
            if entry.last_crash_s >= oldest_s:
                break
            del self._counted[fingerprint]
        for deadlines_s in (self._trial_deadlines_s, self._retrials_s):
            for fingerprint, until_s in list(deadlines_s.items()):
                if until_s <= now_s:
                    del deadlines_s[fingerprint]
