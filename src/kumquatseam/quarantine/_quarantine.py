"""Decides whether a request may run, from the crashes that all instances report."""

import time
from collections.abc import Callable

import attrs
import gevent.event

from kumquatseam.lifecycle import PartGroup
from kumquatseam.logs import part_logger
from kumquatseam.logservice import LogService
from kumquatseam.loops import StepLoop
from kumquatseam.peers import DatagramLink, RendezvousOrder
from kumquatseam.quarantine._crash_detector import CrashDetector
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._errors import QuarantinedError
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import (
    Acknowledgement,
    CrashNotice,
    CrashReport,
    RunEnded,
    TrialAnswer,
    TrialQuestion,
)
from kumquatseam.quarantine._owners import OwnerClient
from kumquatseam.quarantine._probe import Liveness, probe_liveness
from kumquatseam.quarantine._publisher import NoticeChannel, RecordWriter
from kumquatseam.quarantine._registry import BUSY_RETRY_S, CrashRegistry
from kumquatseam.quarantine._reporter import CrashReporter
from kumquatseam.quarantine._runs import InterruptedRun
from kumquatseam.quarantine._served import ServedRequests

_log = part_logger("quarantine")

#: time after a run until its outcome is known: an upstream that stops sending
#: heartbeats leaves the list after several missed ones.
OUTCOME_DELAY_S = 5.0
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
    :param is_trial: whether the request runs on trial, as the only copy in the fleet.
    """

    fingerprint: str
    is_trial: bool = False


@attrs.frozen
class QuarantineParts:
    """Dependencies of a :class:`Quarantine`.

    :param name: name of this instance.
    :param order: returns the candidate owners of a request, by preference.
    :param link: sends and receives messages between two instances.
    :param channel: broadcasts to all instances.
    :param log: stores the suspected requests; ``None`` if there is no log service.
    :param clock: monotonic clock in seconds.
    :param wait: waits for an event, with a timeout in seconds.
    :param probe: returns whether a process listens at an address.
    :param call_later: calls a function after a delay in seconds.
    """

    name: str
    order: RendezvousOrder
    link: DatagramLink
    channel: NoticeChannel
    log: LogService | None
    clock: Callable[[], float] = time.monotonic
    wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait
    probe: Callable[[str], Liveness] = probe_liveness
    call_later: Callable[..., object] = gevent.spawn_later


class Quarantine:
    """Refuses requests that crash upstreams.

    Each request has an owner, an instance chosen by rendezvous hashing, that counts
    the crashes under it. From the second crash on, the request is suspected: all
    instances are notified, and it only runs on trial, one copy at a time, with the
    owner's permission. From the third on, if one was on trial, it is refused for a
    period. The suspected requests are stored in the log service.

    :param parts: its dependencies.
    """

    def __init__(self, parts: QuarantineParts) -> None:
        self._clock = parts.clock
        self.suspects = SuspectList(parts.clock)
        self._registry = CrashRegistry(self.suspects, parts.clock)
        self._served = ServedRequests(parts.clock)
        self._channel = parts.channel
        self._channel.on_notice(self._handle_notice)
        self._owners = OwnerClient(
            parts.name,
            parts.order,
            parts.link,
            self._handle_message,
            self.suspects.add_crashes,
            parts.wait,
        )
        self.writer = RecordWriter(parts.log, self.suspects)
        reporter = CrashReporter(
            self._owners,
            self.suspects,
            self._handle_report,
            parts.call_later,
            parts.clock,
        )
        self._crash_detector = CrashDetector(
            reporter.report, parts.probe, parts.call_later, parts.clock
        )
        self._call_later = parts.call_later
        self._has_log = parts.log is not None
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
        if self._has_log:
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

    def admit(self, fingerprint: str, max_duration_s: float) -> Permit:
        """Return a permit to run a request, from its owner if it is suspected.

        :param max_duration_s: maximum duration of the run.
        :raises QuarantinedError: if the request may not run now.
        """
        self._wait_for_list()
        if not self.suspects.is_suspected(fingerprint):
            return Permit(fingerprint)
        crashes = self.suspects.crashes(fingerprint)
        count = len(crashes.upstreams)
        refused_for_s = self.suspects.refused_for_s(fingerprint)
        if refused_for_s > 0:
            raise QuarantinedError(count, refused_for_s)
        lasts_ms = int((max_duration_s + OUTCOME_DELAY_S) * 1000)
        question = TrialQuestion(
            self._owners.next_number(), fingerprint, crashes, lasts_ms
        )
        answered = self._owners.call(question)
        if answered is None:
            raise QuarantinedError(count, BUSY_RETRY_S)
        answer, _ = answered
        if not answer.is_granted:
            raise QuarantinedError(count, answer.wait_ms / 1000.0)
        self.trials += 1
        return Permit(fingerprint, is_trial=True)

    def _wait_for_list(self) -> None:
        """Wait briefly for the list, so that a restart does not admit suspects."""
        give_up_s = self._clock() + LIST_WAIT_S
        while not self.is_ready and self._clock() < give_up_s:
            gevent.sleep(LIST_CHECK_S)

    def note_served(self, fingerprint: str) -> None:
        """Record that an upstream completed a request."""
        self._served.add(fingerprint)
        if self.suspects.crashes(fingerprint):
            self._call_later(0, self._report_run_ended, fingerprint, True)

    def note_not_run(self, permit: Permit) -> None:
        """Record that a trial ended before the request ran."""
        self._call_later(0, self._report_run_ended, permit.fingerprint, False)

    def note_interrupted(self, run: InterruptedRun) -> None:
        """Record that a run failed, possibly because its upstream crashed."""
        self._crash_detector.note_interrupted(run)

    def note_abandoned(self, run: InterruptedRun) -> None:
        """Record that a caller disconnected during a run."""
        self._crash_detector.note_abandoned(run)

    def note_upstream_gone(self, incarnation_id: str, was_leaving: bool) -> None:
        """Record that an upstream left the list or restarted.

        :param was_leaving: whether this was planned.
        """
        self._crash_detector.note_upstream_gone(incarnation_id, was_leaving)

    # Messages from other instances.

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
            message.number, fingerprint, self.suspects.crashes(fingerprint)
        )

    def _handle_report(self, report: CrashReport) -> None:
        is_new = self._registry.note_crashes(report.fingerprint, report.crashes)
        if is_new and not report.is_copy:
            self._publish(
                report.fingerprint, self._registry.crashes(report.fingerprint)
            )

    def _decide_trial(self, question: TrialQuestion) -> TrialAnswer:
        fingerprint = question.fingerprint
        # The sender may know of crashes that this instance does not.
        self.suspects.add_crashes(fingerprint, question.crashes)
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
            self._registry.end_trial(ended.fingerprint)
            return
        self._registry.clear(ended.fingerprint)
        self._publish(ended.fingerprint, Crashes())

    def _publish(self, fingerprint: str, crashes: Crashes) -> None:
        """Store and broadcast the crashes of a request, or that it is cleared."""
        if crashes:
            self.suspects.add_crashes(fingerprint, crashes)
        else:
            self.suspects.drop(fingerprint)
        first_ago_s = self._registry.first_crash_ago_s(fingerprint)
        notice = CrashNotice(fingerprint, crashes, int(first_ago_s * 1000))
        self._channel.send(notice)
        self.writer.write(fingerprint)
        self._clear_if_served(notice)

    def _handle_notice(self, notice: CrashNotice) -> None:
        if not notice.crashes:
            self._registry.clear(notice.fingerprint)
            self.suspects.drop(notice.fingerprint)
            return
        self.suspects.add_crashes(notice.fingerprint, notice.crashes)
        self._clear_if_served(notice)

    def _clear_if_served(self, notice: CrashNotice) -> None:
        """Clear a request that this instance served since the first crash."""
        age_s = notice.first_crash_ago_ms / 1000.0
        if notice.crashes and self._served.was_served_within(notice.fingerprint, age_s):
            self._call_later(0, self._report_run_ended, notice.fingerprint, True)

    def _report_run_ended(self, fingerprint: str, was_served: bool) -> None:
        self._owners.call(RunEnded(self._owners.next_number(), fingerprint, was_served))

    def sweep(self) -> None:
        """Drop outdated requests, and write records missing from the log service.

        The owner of a request may be cut off from the log service, or may have
        restarted and written fewer crashes than others know of.
        """
        outdated = self.suspects.outdated()
        for fingerprint in outdated:
            self.suspects.drop(fingerprint)
        for fingerprint in (*outdated, *self.suspects.unwritten()):
            if self._owners.may_own(fingerprint):
                self.writer.write(fingerprint)
