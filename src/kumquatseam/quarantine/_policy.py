"""When a request needs a trial, and how long it is refused after crashes."""

from kumquatseam.quarantine._crashes import Crashes

#: crashes after which a request only runs on trial: one copy at a time in the whole
#: fleet. One crash implicates every request that had just started there, and two
#: may still be coincidence.
TRIAL_AFTER = 2
#: crashes, at least one on trial, after which a request is refused for a period.
QUARANTINE_AFTER = 3
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


def needs_trial(crashes: Crashes) -> bool:
    """Return whether a request may run only on trial."""
    return len(crashes.upstreams) >= TRIAL_AFTER


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
