"""Reports of crashes to the owners of the requests."""

import time
from collections.abc import Callable

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.quarantine._crashes import Crashes
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import CrashReport
from kumquatseam.quarantine._owners import OwnerClient
from kumquatseam.quarantine._possible_crash import CrashEvidence

_log = part_logger("quarantine")

#: pause before an unacknowledged report is retried.
RETRY_PAUSE_S = 0.3
#: a report is dropped after this long without acknowledgement: the owners of the
#: request are gone, and its new owner counts the next crashes.
GIVE_UP_AFTER_S = 15.0
#: maximum number of pending reports; the crash of one upstream causes some ten.
MAX_PENDING = 512


@attrs.frozen
class _Crash:
    """The crash of an upstream while it ran a request.

    :param fingerprint: the request, or the part.
    :param incarnation_id: the upstream.
    :param evidence: how it ran there.
    """

    fingerprint: str
    incarnation_id: str
    evidence: CrashEvidence


class CrashReporter:
    """Reports each crash to the owner of the request until it is acknowledged.

    Reports are sent independently, so that an unreachable owner does not delay the
    reports to others.

    :param owners: sends the reports.
    :param suspects: the suspected requests.
    :param handle_locally: handles a report on this instance if no owner answers.
    :param call_later: calls a function after a delay in seconds.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        owners: OwnerClient,
        suspects: SuspectList,
        handle_locally: Callable[[CrashReport], object],
        call_later: Callable[..., object],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._owners = owners
        self._suspects = suspects
        self._handle_locally = handle_locally
        self._call_later = call_later
        self._clock = clock
        self._pending: dict[_Crash, float] = {}

    def report(
        self, fingerprint: str, incarnation_id: str, evidence: CrashEvidence
    ) -> None:
        """Schedule the report of a crash, and return at once."""
        crash = _Crash(fingerprint, incarnation_id, evidence)
        if crash in self._pending:
            return
        if len(self._pending) >= MAX_PENDING:
            _log.bind(fingerprint=fingerprint, upstream=incarnation_id).warning(
                "Crash not reported: too many reports are pending."
            )
            return
        self._pending[crash] = self._clock()
        self._call_later(0, self._deliver, crash)

    def _deliver(self, crash: _Crash) -> None:
        is_delivered = self._send_report(crash)
        age_s = self._clock() - self._pending[crash]
        if is_delivered or age_s > GIVE_UP_AFTER_S:
            del self._pending[crash]
        else:
            self._call_later(RETRY_PAUSE_S, self._deliver, crash)

    def _send_report(self, crash: _Crash) -> bool:
        """Report a crash; return whether an owner acknowledged it."""
        known = self._suspects.crashes(crash.fingerprint)
        new_crash = Crashes.single(crash.incarnation_id, crash.evidence.is_trial)
        report = CrashReport(
            self._owners.next_number(),
            crash.fingerprint,
            known.merged(new_crash),
            sampled=crash.incarnation_id if crash.evidence.is_sampled else "",
        )
        answered = self._owners.call(report)
        if answered is None:
            # An instance that is cut off from the others still counts its own crashes.
            self._handle_locally(report)
            return False
        _, owner = answered
        copy = attrs.evolve(report, is_copy=True)
        for record in self._owners.candidates(crash.fingerprint):
            if record.name != owner.name:
                self._owners.send_to(record, copy)
        return True
