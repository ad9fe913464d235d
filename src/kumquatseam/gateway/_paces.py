"""How often each topic of the log is read, from the bounds in the settings."""

import attrs

from kumquatseam.feeds import ReadPace
from kumquatseam.settings import FeedSettings

#: a reader that fails is noticed when a copy is this share of the bound old;
#: reading it takes up to a call's timeout of the rest.
OPERATOR_STALE_SHARE = 0.6
UPSTREAM_STALE_SHARE = 0.55
#: operators' records change seldom, so a reader waits for news of them, for this
#: share of the bound: a connection that went silent is noticed after the wait.
OPERATOR_WAIT_SHARE = 0.2
#: upstreams' entries are rewritten by every heartbeat, so waiting would mean a
#: call a heartbeat; this share of the bound goes by between two reads.
UPSTREAM_PAUSE_SHARE = 0.2
#: requests that crash upstreams seldom become known, so a reader waits for news,
#: for this share of the configuration's bound. Instances that know of one tell all
#: others at once; these hear of it from the log at the latest when their copy is
#: this many bounds old, soon enough for the next of its repeats.
SUSPECTS_WAIT_SHARE = 0.5
SUSPECTS_STALE_SHARE = 1.5
#: nothing correct hangs on knowing of a new instance at once.
INSTANCE_PACE = ReadPace(wait_s=0.0, pause_s=4.0, stale_after_s=18.0)
#: where all start together, the list of the instances is read when all have
#: registered: read at once, it made each of 195 instances the first of a fleet
#: of its own, which all read every topic and asked every engine.
FIRST_START_SETTLE_S = 0.6


def operator_pace(bounds: FeedSettings) -> ReadPace:
    """Return how often operators' records are read."""
    return ReadPace(
        wait_s=bounds.configuration_s * OPERATOR_WAIT_SHARE,
        pause_s=0.0,
        stale_after_s=bounds.configuration_s * OPERATOR_STALE_SHARE,
    )


def upstream_pace(bounds: FeedSettings) -> ReadPace:
    """Return how often upstreams' entries are read."""
    return ReadPace(
        wait_s=0.0,
        pause_s=bounds.drain_s * UPSTREAM_PAUSE_SHARE,
        stale_after_s=bounds.drain_s * UPSTREAM_STALE_SHARE,
    )


def suspects_pace(bounds: FeedSettings) -> ReadPace:
    """Return how often the requests that crash upstreams are read."""
    return ReadPace(
        wait_s=bounds.configuration_s * SUSPECTS_WAIT_SHARE,
        pause_s=0.0,
        stale_after_s=bounds.configuration_s * SUSPECTS_STALE_SHARE,
    )


def instance_pace(is_first_start: bool) -> ReadPace:
    """Return how often the list of the instances is read.

    :param is_first_start: all of them start together.
    """
    if is_first_start:
        return attrs.evolve(INSTANCE_PACE, initial_delay_s=FIRST_START_SETTLE_S)
    return INSTANCE_PACE
