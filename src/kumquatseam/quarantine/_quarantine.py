"""Decides whether a request may run, from the crashes that all instances report."""

from typing import TYPE_CHECKING

import attrs
import gevent

from kumquatseam.lifecycle import PartGroup
from kumquatseam.loops import StepLoop
from kumquatseam.quarantine._errors import QuarantinedError
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import (
    CrashNotice,
    CrashReport,
    EndedNotice,
    RunEnded,
    TrialQuestion,
)
from kumquatseam.quarantine._parts import NO_PARTS, PromptParts, is_part
from kumquatseam.quarantine._policy import Evidence
from kumquatseam.quarantine._publisher import RecordWriter
from kumquatseam.quarantine._quarantine_parts import QuarantineParts
from kumquatseam.quarantine._runs import InterruptedRun, RunUpstream
from kumquatseam.quarantine._served import ServedRequests

if TYPE_CHECKING:
    from kumquatseam.quarantine._investigation import CrashInvestigation

#: an instance that cannot read the list of suspects starts without it after this
#: long.
LIST_LOAD_TIMEOUT_S = 2.0
#: how long a request waits for the list to be loaded, and how often it checks.
LIST_WAIT_S = 0.5
LIST_CHECK_S = 0.02
#: interval between checks for requests to drop or to write again.
SWEEP_INTERVAL_S = 2.0


@attrs.frozen
class Permit:
    """Permission to run a request.

    :param fingerprint: the request.
    :param tried: what it runs on trial for, as the only such run in the fleet: the
        request itself, or parts of its prompt.
    :param watched: parts of its prompt that are watched.
    """

    fingerprint: str
    tried: frozenset[str] = frozenset()
    watched: frozenset[str] = frozenset()

    @property
    def is_trial(self) -> bool:
        """Whether the request runs on trial."""
        return bool(self.tried)


class Quarantine:
    """Refuses requests that crash upstreams.

    Each request has an owner, an instance chosen by rendezvous hashing, that counts
    the crashes under it. From the second crash on, the request is suspected: all
    instances are notified, and it only runs on trial, one copy at a time, with the
    owner's permission. From the third on, if one was on trial, it is refused for a
    period. The suspected requests are stored in the log service.

    The parts of prompts that requests share have owners as well. From the second crash
    on, the runs with a part are counted, whether they crash or not; if they crash often
    enough, and no other part or request explains it, requests with the part are
    treated like one request.

    :param parts: its dependencies.
    """

    def __init__(self, parts: QuarantineParts) -> None:
        self._parts = parts
        self._clock = parts.clock
        self.suspects = SuspectList(parts.clock)
        self._served = ServedRequests(parts.clock)
        self.writer = RecordWriter(parts.log, self.suspects)
        self._investigation: CrashInvestigation | None = None
        for kind in (CrashReport, TrialQuestion, RunEnded):
            parts.link.on_message(kind, self._handle_first_message)
        parts.channel.on_notice(CrashNotice, self._handle_notice)
        parts.channel.on_notice(EndedNotice, self._handle_end)
        self._started_s = float("-inf")
        self.trials = 0
        self._loops = PartGroup(
            "quarantine",
            [
                self.writer.loop,
                StepLoop(SWEEP_INTERVAL_S, self.sweep),
            ],
        )

    def start(self) -> None:
        """Start the background loops that write records and drop old ones."""
        if self._parts.log is not None:
            self._started_s = self._clock()
        self._loops.start()

    def close(self) -> None:
        """Stop the loops. Other instances write the records not yet written."""
        self._loops.close()

    @property
    def is_ready(self) -> bool:
        """Whether the list of suspects is loaded, or its loading has timed out."""
        has_waited = self._clock() - self._started_s >= LIST_LOAD_TIMEOUT_S
        return self.suspects.is_complete or has_waited

    # Called by the code that serves requests.

    def admit(
        self,
        fingerprint: str,
        max_duration_s: float,
        parts: PromptParts = NO_PARTS,
    ) -> Permit:
        """Return a permit to run a request, from the owners of what is suspected.

        :param max_duration_s: maximum duration of the run.
        :param parts: the parts of its prompt that other requests may share.
        :raises QuarantinedError: if the request may not run now.
        """
        self._wait_for_list()
        if not self.suspects:
            return Permit(fingerprint)
        keys = parts.subjects()
        suspected = [s for s in (fingerprint, *keys) if self.suspects.is_suspected(s)]
        for subject in suspected:
            refused_for_s = self.suspects.refused_for_s(subject)
            if refused_for_s > 0:
                raise self._refusal(subject, refused_for_s)
        permit = Permit(fingerprint, watched=frozenset(filter(self._is_listed, keys)))
        for subject in suspected:
            try:
                self._ask_for_trial(subject, max_duration_s)
            except QuarantinedError:
                self.note_not_run(permit)
                raise
            permit = attrs.evolve(permit, tried=permit.tried | {subject})
        self.trials += permit.is_trial
        return permit

    def is_suspected(self, parts: PromptParts) -> bool:
        """Return whether requests with any of some parts run on trial only."""
        return bool(self.suspects) and any(
            map(self.suspects.is_suspected, parts.subjects())
        )

    def _is_listed(self, subject: str) -> bool:
        return subject in self.suspects

    def _refusal(self, subject: str, wait_s: float) -> QuarantinedError:
        crashes = len(self.suspects.crashes(subject).upstreams)
        return QuarantinedError(crashes, wait_s, subject if is_part(subject) else "")

    def _ask_for_trial(self, subject: str, max_duration_s: float) -> None:
        """Ask the owner of a suspected request or part for a trial.

        :raises QuarantinedError: if it may not start now.
        """
        wait_s = self._investigate().ask_for_trial(subject, max_duration_s)
        if wait_s is not None:
            raise self._refusal(subject, wait_s)

    def _wait_for_list(self) -> None:
        """Wait briefly for the list, so that a restart does not admit suspects."""
        give_up_s = self._clock() + LIST_WAIT_S
        while not self.is_ready and self._clock() < give_up_s:
            gevent.sleep(LIST_CHECK_S)

    def note_served(self, fingerprint: str) -> None:
        """Record that an upstream completed a request."""
        self._served.add(fingerprint)
        if self.suspects.crashes(fingerprint):
            self._investigate().report_served(fingerprint)

    def note_survived(self, parts: PromptParts, permit: Permit | None) -> None:
        """Record that a run has outlived its beginning, or was completed.

        :param parts: the parts of its prompt that other requests may share.
        :param permit: with which it ran.
        """
        if not self.suspects:
            return
        tried = permit.tried if permit is not None else frozenset()
        for subject in filter(self._is_listed, parts.subjects()):
            self._investigate().note_survived(subject, subject in tried)

    def note_not_run(self, permit: Permit, has_arrived: bool = False) -> None:
        """Record that a trial ended without the request having run.

        :param has_arrived: whether it was sent to an upstream.
        """
        for subject in sorted(permit.tried):
            self._investigate().report_not_run(subject, has_arrived)

    def note_interrupted(self, run: InterruptedRun) -> None:
        """Record that a run failed, possibly because its upstream crashed."""
        self._investigate().crash_detector.note_interrupted(run)

    def note_abandoned(self, run: InterruptedRun) -> None:
        """Record that a caller disconnected during a run."""
        self._investigate().crash_detector.note_abandoned(run)

    def note_unreachable(self, upstream: RunUpstream) -> None:
        """Record that an upstream refused a connection."""
        if self._investigation is not None:
            self._investigation.crash_detector.note_unreachable(upstream)

    def note_upstream_gone(self, incarnation_id: str, was_leaving: bool) -> None:
        """Record that an upstream left the list or restarted.

        :param was_leaving: whether this was planned.
        """
        if self._investigation is not None:
            detector = self._investigation.crash_detector
            detector.note_upstream_gone(incarnation_id, was_leaving)

    def sweep(self) -> None:
        """Drop outdated requests, and write records missing from the log service.

        The owner of a request may be cut off from the log service, or may have
        restarted and written fewer crashes than others know of.
        """
        if not self.suspects:
            return
        outdated = self.suspects.outdated()
        for subject in outdated:
            self.suspects.drop(subject)
        written = filter(self.suspects.is_written, outdated)
        for subject in (*written, *self.suspects.unwritten()):
            if self._investigate().may_own(subject):
                self.writer.write(subject)

    # Messages from other instances.

    def _handle_first_message(self, message: object, sender: str) -> None:
        """Handle a message to an owner; what handles it is loaded with the first."""
        self._investigate().owners.receive(message, sender)

    def _handle_notice(self, notice: CrashNotice) -> None:
        subject = notice.fingerprint
        if not notice.crashes:
            if self._investigation is not None:
                self._investigation.forget(subject)
            self.suspects.drop(subject)
            return
        evidence = Evidence(notice.crashes, notice.survivals, notice.samples)
        self.suspects.add(subject, evidence)
        self._clear_if_served(notice)

    def _handle_end(self, notice: EndedNotice) -> None:
        upstream = self._parts.find_upstream(notice.incarnation_id)
        if upstream is not None:
            self.note_unreachable(upstream)

    def _clear_if_served(self, notice: CrashNotice) -> None:
        """Clear a request that this instance served since the first crash."""
        age_s = notice.first_crash_ago_ms / 1000.0
        if notice.crashes and self._served.was_served_within(notice.fingerprint, age_s):
            self._investigate().report_served(notice.fingerprint)

    def _investigate(self) -> "CrashInvestigation":
        """Return what counts crashes; it is loaded with the first of them."""
        if self._investigation is None:
            from kumquatseam.quarantine._investigation import CrashInvestigation

            self._investigation = CrashInvestigation(
                self._parts, self.suspects, self.writer, self._clear_if_served
            )
        return self._investigation
