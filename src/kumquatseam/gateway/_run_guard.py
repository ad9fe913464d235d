"""What the attempts at a request say of the upstreams that ran it."""

from kumquatseam.gateway._event_times import EventTimes
from kumquatseam.gateway._job import Job
from kumquatseam.placement import Placement
from kumquatseam.quarantine import RunPermission, RunUpstream


class RunGuard:
    """Keeps requests that crash upstreams from them.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param times: when its current attempt was sent, and its events arrived.
    """

    def __init__(self, parts, job: Job, times: EventTimes) -> None:
        self._parts = parts
        self._job = job
        self._times = times
        self.permission = RunPermission(
            parts.quarantine, job.fingerprint, job.prompt_parts
        )

    def acquire(self) -> None:
        """Get the permission for the next attempt.

        :raises QuarantinedError: if the request may not run now.
        """
        self.permission.acquire(max(0.0, self._job.remaining_s))

    def may_move(self) -> bool:
        """Return whether the run may go on at another upstream now."""
        return self.permission.may_move()

    def note_event(self) -> None:
        """Record that an event of the response arrived."""
        self.permission.note_answering(self._times.streaming_s)

    def note_interrupted(self, placement: Placement) -> None:
        """Record that the attempt broke off; its upstream may have crashed."""
        upstream = self._run_upstream(placement)
        self.permission.note_interrupted(upstream, self._times.streaming_s)

    def note_abandoned(self, placement: Placement) -> None:
        """Record that the attempt was abandoned with an unknown outcome."""
        if self._times.sent_s is not None:
            upstream = self._run_upstream(placement)
            self.permission.note_abandoned(upstream, self._times.streaming_s)

    def note_unreachable(self, placement: Placement) -> None:
        """Record that the upstream refused a connection."""
        self._parts.quarantine.note_unreachable(self._run_upstream(placement))

    def _run_upstream(self, placement: Placement) -> RunUpstream:
        upstream = placement.status.upstream
        current = self._parts.directory.status(upstream.incarnation_id)
        return RunUpstream(
            upstream.incarnation_id,
            upstream.address,
            placement.status.is_leaving,
            is_gone=current is None,
        )
