"""Interrupted runs, as evidence of upstream crashes."""

import attrs

from kumquatseam.quarantine._parts import NO_PARTS, PromptParts

#: a run that has been streaming its answer for this long did not crash its upstream
#: by being started.
RULED_OUT_AFTER_S = 0.5


@attrs.frozen
class RunUpstream:
    """State of the upstream at the moment that a run was interrupted.

    :param incarnation_id: id of the upstream process; a restart gets a new one.
    :param address: ``host:port``.
    :param is_leaving: whether the upstream is shutting down as planned.
    :param is_gone: whether the incarnation has left the list of upstreams.
    """

    incarnation_id: str
    address: str
    is_leaving: bool = False
    is_gone: bool = False


@attrs.frozen
class InterruptedRun:
    """A run that failed, or whose caller disconnected before its end.

    :param fingerprint: the request.
    :param upstream: where it ran.
    :param answering_s: time since the first part of the answer; ``None`` if there
        was none.
    :param is_trial: whether it ran on trial, as the only copy in the fleet.
    :param parts: the parts of its prompt that other requests may share.
    :param watched: keys of those that were watched when it began.
    :param tried: the subjects that it ran on trial for.
    """

    fingerprint: str
    upstream: RunUpstream
    answering_s: float | None
    is_trial: bool = False
    parts: PromptParts = NO_PARTS
    watched: frozenset[str] = frozenset()
    tried: frozenset[str] = frozenset()

    @property
    def is_ruled_out(self) -> bool:
        """Whether it ran for too long to be the cause of a crash at its start."""
        return self.answering_s is not None and self.answering_s >= RULED_OUT_AFTER_S
