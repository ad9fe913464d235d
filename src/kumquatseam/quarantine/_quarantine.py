"""Deciding whether a request may run, with what all instances know of it."""

import time
from collections.abc import Callable

import attrs
import gevent.event

from kumquatseam.lifecycle import PartGroup
from kumquatseam.logs import part_logger
from kumquatseam.logservice import LogService
from kumquatseam.loops import StepLoop
from kumquatseam.peers import DatagramLink, RendezvousOrder
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._errors import QuarantinedError
from kumquatseam.quarantine._ledger import BUSY_RETRY_S, CrashLedger
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import (
    CrashNotice,
    CrashReport,
    Noted,
    RunEnded,
    TrialAnswer,
    TrialQuestion,
)
from kumquatseam.quarantine._owners import OwnerClient
from kumquatseam.quarantine._probe import Liveness, probe
from kumquatseam.quarantine._publisher import NoticeChannel, RecordWriter
from kumquatseam.quarantine._reporter import CrashReporter
from kumquatseam.quarantine._runs import BrokenRun
from kumquatseam.quarantine._served import ServedMemory
from kumquatseam.quarantine._witness import CrashWitness

_log = part_logger("quarantine")

#: time after a run in which it turns out how it ended: an upstream that falls
#: silent leaves the list after some heartbeats.
VERDICT_DELAY_S = 5.0
#: a start that cannot read the list of suspects goes on without it after this long.
LEARN_WITHIN_S = 2.0
#: how long a request that comes before waits for the list, and how often it looks.
LIST_WAIT_S = 0.5
LIST_CHECK_S = 0.02
#: seconds between two looks for requests to forget or to write.
SWEEP_INTERVAL_S = 2.0


@attrs.frozen
class Permit:
    """A request may run.

    :param fingerprint: the request.
    :param is_trial: no other copy of it runs meanwhile.
    """

    fingerprint: str
    is_trial: bool = False


@attrs.frozen
class QuarantineParts:
    """What a quarantine is built from.

    :param name: this instance.
    :param order: which instances may look after a request.
    :param link: carries messages between two instances.
    :param channel: tells all instances.
    :param log: keeps what must outlast every instance; ``None`` if nothing does.
    :param clock: monotonic clock in seconds.
    :param wait: waits until an event is set, for so many seconds at most.
    :param look: finds out whether a process listens at an address.
    :param later: calls a function after so many seconds.
    """

    name: str
    order: RendezvousOrder
    link: DatagramLink
    channel: NoticeChannel
    log: LogService | None
    clock: Callable[[], float] = time.monotonic
    wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait
    look: Callable[[str], Liveness] = probe
    later: Callable[..., object] = gevent.spawn_later


class Quarantine:
    """Keeps upstreams from requests that crash them.

    Crashes under a request are counted by one instance, found by rendezvous
    hashing; from the second one on, all know of the request and ask that instance
    before it runs, one copy at a time; from the third on it is refused for a while.
    What all know is kept in the log service.

    :param parts: what it is built from.
    """

    def __init__(self, parts: QuarantineParts) -> None:
        self._clock = parts.clock
        self.suspects = SuspectList(parts.clock)
        self._ledger = CrashLedger(self.suspects, parts.clock)
        self._served = ServedMemory(parts.clock)
        self._channel = parts.channel
        self._channel.on_notice(self._take_notice)
        self._owners = OwnerClient(
            parts.name,
            parts.order,
            parts.link,
            self._serve,
            self.suspects.put,
            parts.wait,
        )
        self.writer = RecordWriter(parts.log, self.suspects)
        reporter = CrashReporter(
            self._owners, self.suspects, self._take_report, parts.later, parts.clock
        )
        self._witness = CrashWitness(
            reporter.report, parts.look, parts.later, parts.clock
        )
        self._later = parts.later
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
        """Begin to write what the log service is to keep."""
        if self._has_log:
            self._started_s = self._clock()
        self._loops.start()

    def close(self) -> None:
        """Stop; what was not written yet, others write."""
        self._loops.close()

    @property
    def is_informed(self) -> bool:
        """Whether it is known which requests are suspected, as far as it can be."""
        has_waited = self._clock() - self._started_s >= LEARN_WITHIN_S
        return self.suspects.is_complete or has_waited

    # For those who serve requests.

    def admit(self, fingerprint: str, lasts_s: float) -> Permit:
        """Return the permit to run a request; asks for it if it is suspected.

        :param lasts_s: how long it runs at most.
        :raises QuarantinedError: if it may not run now.
        """
        self._await_list()
        if not self.suspects.is_suspected(fingerprint):
            return Permit(fingerprint)
        crashes = self.suspects.crashes(fingerprint)
        count = len(crashes.upstreams)
        refused_for_s = self.suspects.refused_for_s(fingerprint)
        if refused_for_s > 0:
            raise QuarantinedError(count, refused_for_s)
        lasts_ms = int((lasts_s + VERDICT_DELAY_S) * 1000)
        question = TrialQuestion(
            self._owners.next_number(), fingerprint, crashes, lasts_ms
        )
        answered = self._owners.ask(question)
        if answered is None:
            raise QuarantinedError(count, BUSY_RETRY_S)
        answer, _ = answered
        if not answer.is_granted:
            raise QuarantinedError(count, answer.wait_ms / 1000.0)
        self.trials += 1
        return Permit(fingerprint, is_trial=True)

    def _await_list(self) -> None:
        """Wait a little for the list: a restart must not forget what was known."""
        give_up_s = self._clock() + LIST_WAIT_S
        while not self.is_informed and self._clock() < give_up_s:
            gevent.sleep(LIST_CHECK_S)

    def note_served(self, permit: Permit) -> None:
        """Take in that an upstream answered a request whole."""
        self._served.note(permit.fingerprint)
        if self.suspects.crashes(permit.fingerprint):
            self._later(0, self._tell_ended, permit.fingerprint, True)

    def note_not_run(self, permit: Permit) -> None:
        """Take in that a request on trial ended without having run."""
        self._later(0, self._tell_ended, permit.fingerprint, False)

    def note_broken(self, run: BrokenRun) -> None:
        """Take in that a run broke off; its upstream may have crashed."""
        self._witness.note_broken(run)

    def note_abandoned(self, run: BrokenRun) -> None:
        """Take in that a caller left while a run of its request was under way."""
        self._witness.note_abandoned(run)

    def note_upstream_gone(self, incarnation_id: str, was_leaving: bool) -> None:
        """Take in that an upstream left the list, or started again.

        :param was_leaving: whether that was planned.
        """
        self._witness.note_upstream_gone(incarnation_id, was_leaving)

    # For other instances.

    def _serve(self, message: object) -> Noted | TrialAnswer:
        """Answer a message about a request that this instance looks after."""
        if isinstance(message, CrashReport):
            self._take_report(message)
        elif isinstance(message, TrialQuestion):
            return self._decide(message)
        elif isinstance(message, RunEnded):
            self._take_end(message)
        fingerprint = message.fingerprint
        return Noted(message.number, fingerprint, self.suspects.crashes(fingerprint))

    def _take_report(self, report: CrashReport) -> None:
        is_news = self._ledger.note_crashes(report.fingerprint, report.crashes)
        if is_news and not report.is_copy:
            self._publish(report.fingerprint, self._ledger.crashes(report.fingerprint))

    def _decide(self, question: TrialQuestion) -> TrialAnswer:
        fingerprint = question.fingerprint
        # Whoever asks may have heard of crashes that this instance has not.
        self.suspects.put(fingerprint, question.crashes)
        verdict = self._ledger.grant(fingerprint, question.lasts_ms / 1000.0)
        _log.bind(
            fingerprint=fingerprint,
            is_granted=verdict.is_granted,
            wait_s=round(verdict.wait_s, 2),
        ).info("Trial asked for.")
        return TrialAnswer(
            question.number, verdict.is_granted, int(verdict.wait_s * 1000)
        )

    def _take_end(self, ended: RunEnded) -> None:
        if not ended.was_served:
            self._ledger.end_trial(ended.fingerprint)
            return
        self._ledger.clear(ended.fingerprint)
        self._publish(ended.fingerprint, Crashes())

    def _publish(self, fingerprint: str, crashes: Crashes) -> None:
        """Make everyone know of the crashes under a request, or of none."""
        if crashes:
            self.suspects.put(fingerprint, crashes)
        else:
            self.suspects.drop(fingerprint)
        first_ago_s = self._ledger.first_crash_ago_s(fingerprint)
        notice = CrashNotice(fingerprint, crashes, int(first_ago_s * 1000))
        self._channel.send(notice)
        self.writer.write(fingerprint)
        self._clear_if_served(notice)

    def _take_notice(self, notice: CrashNotice) -> None:
        if not notice.crashes:
            self._ledger.clear(notice.fingerprint)
            self.suspects.drop(notice.fingerprint)
            return
        self.suspects.put(notice.fingerprint, notice.crashes)
        self._clear_if_served(notice)

    def _clear_if_served(self, notice: CrashNotice) -> None:
        """Clear a request that was served here since the first crash under it."""
        age_s = notice.first_crash_ago_ms / 1000.0
        if notice.crashes and self._served.was_served_within(notice.fingerprint, age_s):
            self._later(0, self._tell_ended, notice.fingerprint, True)

    def _tell_ended(self, fingerprint: str, was_served: bool) -> None:
        self._owners.ask(RunEnded(self._owners.next_number(), fingerprint, was_served))

    def sweep(self) -> None:
        """Forget what is outdated, and have written what the log service lacks.

        Whoever looks after a request may be cut off from the log service, or may
        have started again and written less than others know.
        """
        outdated = self.suspects.outdated()
        for fingerprint in outdated:
            self.suspects.drop(fingerprint)
        for fingerprint in (*outdated, *self.suspects.unwritten()):
            if self._owners.may_own(fingerprint):
                self.writer.write(fingerprint)
