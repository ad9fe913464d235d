"""Permission to run one request, and the outcome of its runs."""

from kumquatseam.quarantine._parts import NO_PARTS, PromptParts
from kumquatseam.quarantine._quarantine import Permit, Quarantine
from kumquatseam.quarantine._runs import (
    RULED_OUT_AFTER_S,
    InterruptedRun,
    RunUpstream,
)


class RunPermission:
    """Permission to run one request, held by the code that serves it.

    Acquire it before each attempt, record the outcome of each, and close it at the
    end.

    :param quarantine: decides whether the request may run.
    :param fingerprint: the request.
    :param parts: the parts of its prompt that other requests may share.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        fingerprint: str,
        parts: PromptParts = NO_PARTS,
    ) -> None:
        self._quarantine = quarantine
        self._fingerprint = fingerprint
        self._parts = parts
        self._permit: Permit | None = None
        self._has_arrived = False
        self._has_begun = False
        self._has_survived = False

    @property
    def fingerprint(self) -> str:
        """The request."""
        return self._fingerprint

    @property
    def is_trial(self) -> bool:
        """Whether the request runs on trial, as the only copy in the fleet."""
        return self._permit is not None and self._permit.is_trial

    def acquire(self, max_duration_s: float) -> None:
        """Check that the request may run; call this before each attempt.

        Other instances may have reported crashes since the previous attempt.

        :param max_duration_s: maximum duration of the run.
        :raises QuarantinedError: if the request may not run now.
        """
        if not self.is_trial:
            self._permit = self._quarantine.admit(
                self._fingerprint, max_duration_s, self._parts
            )

    def may_move(self) -> bool:
        """Return whether the run may go on at another upstream now."""
        return not self.is_trial and not self._quarantine.is_suspected(self._parts)

    def note_sent(self) -> None:
        """Record that the request is being sent to an upstream."""
        self._has_arrived = self._has_begun = True
        self._has_survived = False

    def note_refused(self) -> None:
        """Record that the upstream did not run the request, or failed to.

        An error response may have been sent before the upstream began to run it, so it
        does not show that the request is harmless.
        """
        self._has_begun = False

    def note_answering(self, answering_s: float | None) -> None:
        """Record that an upstream goes on with its answer.

        :param answering_s: time since the first part of the answer.
        """
        if answering_s is not None and answering_s >= RULED_OUT_AFTER_S:
            self._note_survived()

    def note_answered(self) -> None:
        """Record that an upstream completed the request."""
        self._quarantine.note_served(self._fingerprint)
        self._note_survived()

    def note_interrupted(
        self, upstream: RunUpstream, answering_s: float | None
    ) -> None:
        """Record that a run failed, possibly because its upstream crashed.

        :param answering_s: time since the first part of the answer; ``None`` if there
            was none.
        """
        self._quarantine.note_interrupted(self._run(upstream, answering_s))

    def note_abandoned(self, upstream: RunUpstream, answering_s: float | None) -> None:
        """Record that the caller disconnected, so the end of the run is unknown.

        :param answering_s: time since the first part of the answer; ``None`` if there
            was none.
        """
        self._quarantine.note_abandoned(self._run(upstream, answering_s))

    def close(self) -> None:
        """Release the trial if the request did not run."""
        if self.is_trial and not self._has_begun:
            self._quarantine.note_not_run(self._permit, self._has_arrived)

    def _note_survived(self) -> None:
        """Record that the parts of the prompt did not crash the upstream."""
        if not self._has_survived:
            self._has_survived = True
            self._quarantine.note_survived(self._parts, self._permit)

    def _run(self, upstream: RunUpstream, answering_s: float | None) -> InterruptedRun:
        permit = self._permit or Permit(self._fingerprint)
        return InterruptedRun(
            self._fingerprint,
            upstream,
            answering_s,
            self._fingerprint in permit.tried,
            self._parts,
            permit.watched,
            permit.tried,
        )
