"""Read intervals of the log's topics, derived from the bounds in the settings."""

import attrs

from kumquatseam.feeds import ReadPace
from kumquatseam.gatewayfile import FeedSettings

#: age of a copy, as a share of the bound, at which its reader counts as failed; the
#: rest of the bound covers a read, which takes up to the timeout of a call.
OPERATOR_STALE_SHARE = 0.6
UPSTREAM_STALE_SHARE = 0.55
#: operators' records change rarely, so a reader long-polls for this share of the
#: bound; a dead connection is detected after that time.
OPERATOR_WAIT_SHARE = 0.2
#: upstreams' entries are rewritten by every heartbeat, so a long poll would return
#: at each of them; instead, reads are this share of the bound apart.
UPSTREAM_PAUSE_SHARE = 0.2
#: requests that crash upstreams are recorded rarely, so a reader long-polls for this
#: share of the configuration's bound. Instances notify all others of a new one at
#: once; if that fails, an instance reads it from the log before its copy is
#: SUSPECTS_STALE_SHARE bounds old, which is soon enough for the next retry.
SUSPECTS_WAIT_SHARE = 0.5
SUSPECTS_STALE_SHARE = 1.5
#: correctness does not depend on learning of a new instance at once.
INSTANCE_PACE = ReadPace(wait_s=0.0, pause_s=4.0, stale_after_s=18.0)
#: if all instances start together, the list of instances is read after all have
#: registered. Read at once, it made each of 195 instances consider itself the first
#: of its own fleet, and all of them read every topic and polled every engine.
FIRST_START_DELAY_S = 0.6


def operator_pace(bounds: FeedSettings) -> ReadPace:
    """Return the read intervals for operators' records."""
    return ReadPace(
        wait_s=bounds.configuration_s * OPERATOR_WAIT_SHARE,
        pause_s=0.0,
        stale_after_s=bounds.configuration_s * OPERATOR_STALE_SHARE,
    )


def upstream_pace(bounds: FeedSettings) -> ReadPace:
    """Return the read intervals for upstreams' entries."""
    return ReadPace(
        wait_s=0.0,
        pause_s=bounds.drain_s * UPSTREAM_PAUSE_SHARE,
        stale_after_s=bounds.drain_s * UPSTREAM_STALE_SHARE,
    )


def suspects_pace(bounds: FeedSettings) -> ReadPace:
    """Return the read intervals for the list of requests that crash upstreams."""
    return ReadPace(
        wait_s=bounds.configuration_s * SUSPECTS_WAIT_SHARE,
        pause_s=0.0,
        stale_after_s=bounds.configuration_s * SUSPECTS_STALE_SHARE,
    )


def instance_pace(is_first_start: bool) -> ReadPace:
    """Return the read intervals for the list of instances.

    :param is_first_start: whether all instances start together.
    """
    if is_first_start:
        return attrs.evolve(INSTANCE_PACE, initial_delay_s=FIRST_START_DELAY_S)
    return INSTANCE_PACE
