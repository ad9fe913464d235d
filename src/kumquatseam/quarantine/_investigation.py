"""Counts the crashes of upstreams together with the other instances."""

from collections.abc import Callable

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.quarantine._crash_detector import CrashDetector
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import (
    Acknowledgement,
    CrashNotice,
    CrashReport,
    EndedNotice,
    RunEnded,
    TrialAnswer,
    TrialQuestion,
)
from kumquatseam.quarantine._owners import OwnerClient
from kumquatseam.quarantine._parts import is_part
from kumquatseam.quarantine._policy import Evidence, is_part_cleared
from kumquatseam.quarantine._publisher import RecordWriter
from kumquatseam.quarantine._quarantine_parts import QuarantineParts
from kumquatseam.quarantine._registry import BUSY_RETRY_S, CrashRegistry
from kumquatseam.quarantine._reporter import CrashReporter
from kumquatseam.quarantine._survivals import SurvivalReporter

_log = part_logger("quarantine")

#: time after a run until its outcome is known: an upstream that stops sending
#: heartbeats leaves the list after several missed ones.
OUTCOME_DELAY_S = 5.0
#: time from the crash of an upstream until most runs that began at the same time have
#: outlived their beginning.
SAMPLE_DELAY_S = 0.8


class CrashInvestigation:
    """Reports what crashes, and counts what this instance owns.

    :param parts: the dependencies of the quarantine.
    :param suspects: what is suspected or watched.
    :param writer: writes its records.
    :param clear_if_served: called with each notice that this instance broadcasts.
    """

    def __init__(
        self,
        parts: QuarantineParts,
        suspects: SuspectList,
        writer: RecordWriter,
        clear_if_served: Callable[[CrashNotice], None],
    ) -> None:
        self._suspects = suspects
        self._writer = writer
        self._channel = parts.channel
        self._call_later = parts.call_later
        self._clear_if_served = clear_if_served
        self._registry = CrashRegistry(suspects, parts.clock)
        self.owners = OwnerClient(
            parts.name,
            parts.order,
            parts.link,
            self._handle_message,
            self._add_crashes,
            parts.wait,
        )
        reporter = CrashReporter(
            self.owners, suspects, self._handle_report, parts.call_later, parts.clock
        )
        self.crash_detector = CrashDetector(
            reporter.report,
            self._broadcast_end,
            parts.probe,
            parts.call_later,
            parts.clock,
        )
        self._survivals = SurvivalReporter(
            self.owners,
            suspects,
            parts.count_instances,
            parts.call_later,
            parts.draw_uniform,
        )

    def may_own(self, subject: str) -> bool:
        """Return whether this instance is a candidate owner of a subject."""
        return self.owners.may_own(subject)

    def forget(self, subject: str) -> None:
        """Drop the crashes counted here of a subject that was cleared."""
        self._registry.clear(subject)

    def ask_for_trial(self, subject: str, max_duration_s: float) -> float | None:
        """Ask the owner of a suspected subject for a trial.

        :param max_duration_s: maximum duration of the run.
        :returns: when to ask again; ``None`` if the trial may start.
        """
        lasts_ms = int((max_duration_s + OUTCOME_DELAY_S) * 1000)
        crashes = self._suspects.crashes(subject)
        number = self.owners.next_number()
        answered = self.owners.call(TrialQuestion(number, subject, crashes, lasts_ms))
        if answered is None:
            return BUSY_RETRY_S
        answer, _ = answered
        return None if answer.is_granted else answer.wait_ms / 1000.0

    def report_served(self, fingerprint: str) -> None:
        """Report to its owner that a request was completed."""
        number = self.owners.next_number()
        self._call_later(0, self.owners.call, RunEnded(number, fingerprint, True))

    def report_not_run(self, subject: str, has_arrived: bool) -> None:
        """Report to its owner that a trial ended without a run.

        :param has_arrived: whether it was sent to an upstream.
        """
        number = self.owners.next_number()
        ended = RunEnded(number, subject, False, has_arrived=has_arrived)
        self._call_later(0, self.owners.call, ended)

    def note_survived(self, part: str, is_trial: bool) -> None:
        """Count a run with a watched part that did not crash its upstream."""
        if is_trial:
            self._call_later(0, self._survivals.report_trial, part)
        else:
            self._survivals.add(part)

    def _broadcast_end(self, incarnation_id: str) -> None:
        """Tell the other instances that an upstream ended, as a probe found."""
        self._channel.send(EndedNotice(incarnation_id))

    def _add_crashes(self, subject: str, crashes: Crashes) -> None:
        """Add the crashes of a subject that its owner knows of.

        Parts are listed once all instances watch them.
        """
        if not is_part(subject) or subject in self._suspects:
            self._suspects.add(subject, Evidence(crashes))

    # Messages to the owner of a subject.

    def _handle_message(self, message: object) -> Acknowledgement | TrialAnswer:
        """Handle a message about a request that this instance owns."""
        if isinstance(message, CrashReport):
            self._handle_report(message)
        elif isinstance(message, TrialQuestion):
            return self._decide_trial(message)
        elif isinstance(message, RunEnded):
            self._handle_run_ended(message)
        fingerprint = message.fingerprint
        return Acknowledgement(
            message.number, fingerprint, self._suspects.crashes(fingerprint)
        )

    def _handle_report(self, report: CrashReport) -> None:
        self._count(report)
        if not report.sampled:
            return
        # Not before the runs that began with the one that crashed have outlived their
        # beginning, or not; a trial is alone.
        is_trial = report.sampled in report.crashes.on_trial
        delay_s = 0.0 if is_trial else SAMPLE_DELAY_S
        sample = attrs.evolve(report, crashes=Crashes.sample(report.sampled))
        self._call_later(delay_s, self._count_sample, sample)

    def _count_sample(self, report: CrashReport) -> None:
        if report.fingerprint in self._suspects:
            self._count(report, report.sampled)

    def _count(self, report: CrashReport, sampled: str = "") -> None:
        subject = report.fingerprint
        is_new = self._registry.note_crashes(subject, report.crashes, sampled)
        if is_new and not report.is_copy:
            self._publish(subject, self._registry.crashes(subject))

    def _decide_trial(self, question: TrialQuestion) -> TrialAnswer:
        fingerprint = question.fingerprint
        # The sender may know of crashes that this instance does not.
        self._suspects.add(fingerprint, Evidence(question.crashes))
        decision = self._registry.try_start_trial(
            fingerprint, question.lasts_ms / 1000.0
        )
        _log.bind(
            fingerprint=fingerprint,
            is_granted=decision.is_granted,
            wait_s=round(decision.wait_s, 2),
        ).info("Trial asked for.")
        return TrialAnswer(
            question.number, decision.is_granted, int(decision.wait_s * 1000)
        )

    def _handle_run_ended(self, ended: RunEnded) -> None:
        if not ended.was_served:
            self._registry.end_trial(ended.fingerprint, ended.has_arrived)
        elif is_part(ended.fingerprint):
            self._handle_survivals(ended)
        else:
            self._clear(ended.fingerprint)

    def _handle_survivals(self, ended: RunEnded) -> None:
        """Count runs with a part that did not crash; one of them may clear it."""
        part = ended.fingerprint
        if ended.is_trial:
            self._registry.end_trial(part)
        if part not in self._suspects:
            return
        known = self._suspects.evidence(part)
        was_suspected = self._suspects.is_suspected(part)
        survivals = known.survivals + ended.count
        evidence = attrs.evolve(known, survivals=survivals)
        self._suspects.add(part, evidence)
        if is_part_cleared(evidence):
            self._clear(part)
        elif was_suspected:
            self._publish(part, evidence.crashes)

    def _clear(self, subject: str) -> None:
        self._registry.clear(subject)
        self._publish(subject, Crashes())

    def _publish(self, subject: str, crashes: Crashes) -> None:
        """Store and broadcast the crashes of a subject, or that it is cleared."""
        # A record may have been written that was not read back yet.
        may_be_written = bool(self._suspects.crashes(subject).sampled)
        is_written = not is_part(subject) or (not crashes and may_be_written)
        if crashes:
            samples = self._registry.samples(subject)
            self._suspects.add(subject, Evidence(crashes, samples=samples))
        else:
            self._suspects.drop(subject)
        first_ago_s = self._registry.first_crash_ago_s(subject)
        evidence = self._suspects.evidence(subject)
        notice = CrashNotice(
            subject,
            crashes,
            int(first_ago_s * 1000),
            evidence.survivals,
            evidence.samples,
        )
        self._channel.send(notice)
        if is_written or self._suspects.is_recorded(subject):
            self._writer.write(subject)
        self._clear_if_served(notice)
