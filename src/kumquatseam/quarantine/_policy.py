"""When a request or a part needs a trial, and how long it is refused after crashes."""

import math

import attrs

from kumquatseam.quarantine._crashes import Crashes

#: crashes after which a request only runs on trial: one copy at a time in the whole
#: fleet. One crash implicates every request that had just started there, and two
#: may still be coincidence. From as many crashes on, the runs with a part are counted.
TRIAL_AFTER = 2
#: crashes, at least one on trial, after which a request is refused for a period.
QUARANTINE_AFTER = 3
#: crashes among the counted runs with a part, after which it only runs on trial.
SAMPLED_CRASHES = 2
#: for this long runs with a part are counted before that decides anything: most runs
#: have outlived their beginning by then.
OBSERVATION_S = 1.0
#: runs with a part for each of its crashes, below which it only runs on trial: a part
#: may crash upstreams now and then, and a popular one is on some that crash.
MIN_SURVIVALS_PER_CRASH = 2
#: the same until it is no longer watched, and at first.
SURVIVALS_PER_CRASH = 4
SURVIVALS_AT_FIRST = 3
#: share of the runs with a sound part that break off soon after they began, while
#: upstreams crash one after the other.
COINCIDENCE_RATE = 0.25
#: the first such period. Callers that retry in a loop do so for about as long, and
#: each further trial may crash an upstream with everything that runs there.
FIRST_REFUSAL_S = 30.0
#: each further crash on trial multiplies the period by this factor.
REFUSAL_FACTOR = 10.0
#: trials after the first refusal; if all crash, the request is refused until its
#: record expires.
MAX_RETRIALS = 2
#: time after the last known crash until a suspected request expires.
SUSPECT_TTL_S = 86_400.0
#: the same for a part that is only watched.
WATCHED_TTL_S = 60.0


@attrs.frozen
class Evidence:
    """What is known of a subject of suspicion.

    :param crashes: the upstreams that crashed while running it.
    :param survivals: runs with a watched part that did not crash their upstreams.
    :param samples: sampled crashes, of which not all may be stored.
    """

    crashes: Crashes = Crashes()
    survivals: int = 0
    samples: int = 0

    @property
    def sampled_crashes(self) -> int:
        """The number of sampled crashes."""
        return max(self.samples, len(self.crashes.sampled))

    def merged(self, other: "Evidence") -> "Evidence":
        """Return the evidence of both."""
        return Evidence(
            self.crashes.merged(other.crashes),
            max(self.survivals, other.survivals),
            max(self.samples, other.samples),
        )

    def without(self, incarnation_ids: set[str]) -> "Evidence":
        """Return the evidence without the crashes of some upstreams.

        Of the sampled crashes that are not stored, as large a part goes as of those
        that are.
        """
        rest = self.crashes.without(incarnation_ids)
        stored = len(self.crashes.sampled)
        share = len(rest.sampled) / stored if stored else 0.0
        return Evidence(rest, self.survivals, round(self.samples * share))

    def weight(self, counts_all: bool) -> tuple[float, int, int]:
        """Return how strongly it speaks for a cause of the crashes, to compare.

        The first figure is the logarithm of a Bayes factor: that the subject crashes
        upstreams at an unknown rate, against that it only was on some that crashed.

        :param counts_all: whether all crashes count, and not just the sampled ones:
            those of a request, which was not completed since.
        """
        stored = self.crashes.upstreams
        crashes = len(stored) if counts_all else self.sampled_crashes
        survivals = self.survivals
        log_factor = (
            math.lgamma(crashes + 1)
            + math.lgamma(survivals + 1)
            - math.lgamma(crashes + survivals + 2)
            - crashes * math.log(COINCIDENCE_RATE)
            - survivals * math.log(1.0 - COINCIDENCE_RATE)
        )
        return round(log_factor, 6), len(self.crashes.on_trial), len(stored)


def needs_trial(crashes: Crashes) -> bool:
    """Return whether a request may run only on trial."""
    return len(crashes.upstreams) >= TRIAL_AFTER


def part_needs_trial(evidence: Evidence, observed_s: float) -> bool:
    """Return whether requests with a part may run only on trial.

    A popular part is in most crashes, and in even more runs that do not crash. A part
    that crashes upstreams now and then is told from it by how often.

    :param evidence: without the crashes that are attributed to others.
    :param observed_s: for how long runs with the part have been counted.
    """
    crashes = evidence.sampled_crashes
    is_certain = observed_s >= OBSERVATION_S and crashes >= SAMPLED_CRASHES
    return is_certain and evidence.survivals < crashes * MIN_SURVIVALS_PER_CRASH


def is_part_cleared(evidence: Evidence) -> bool:
    """Return whether a part is no longer watched."""
    crashes = evidence.sampled_crashes
    return evidence.survivals >= SURVIVALS_AT_FIRST + SURVIVALS_PER_CRASH * crashes


def refusal_duration_s(crashes: Crashes) -> float:
    """Return how long a request is refused after a crash.

    Only a request that crashed an upstream on trial is refused. The number of
    crashes alone proves nothing: when a rack loses power, many upstreams end while
    each of them runs the same popular request.

    :returns: 0 if the request may run at once.
    """
    if not crashes.on_trial or len(crashes.upstreams) < QUARANTINE_AFTER:
        return 0.0
    retrials = len(crashes.on_trial) - 1
    if retrials >= MAX_RETRIALS:
        return SUSPECT_TTL_S
    return FIRST_REFUSAL_S * REFUSAL_FACTOR**retrials
