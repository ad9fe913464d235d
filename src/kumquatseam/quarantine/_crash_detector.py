"""Detection of upstream crashes and of the requests that had just started there."""

import time
from collections.abc import Callable

import gevent

from kumquatseam.logs import part_logger
from kumquatseam.quarantine._possible_crash import CrashEvidence, PossibleCrash
from kumquatseam.quarantine._probe import Liveness, probe_liveness
from kumquatseam.quarantine._runs import InterruptedRun, RunUpstream

_log = part_logger("quarantine")

#: delay before a probe: the connections of an ending process may close slightly
#: before its listening port.
PROBE_DELAY_S = 0.02
#: delay before the probe of an upstream that runs a watched part for a caller that
#: disconnected: by then it has begun to write.
ABANDONED_PROBE_DELAY_S = 0.3
#: expiry of an interrupted run: by then an upstream that crashed without being
#: detected by a probe has left the list.
INTERRUPTED_TTL_S = 10.0
#: expiry of a run whose caller disconnected: by then an upstream that crashed under
#: it has left the list. One that crashes later had cancelled the run before.
ABANDONED_TTL_S = 5.0
#: minimum time between two expiry passes.
EXPIRY_INTERVAL_S = 1.0
#: maximum number of possible crashes tracked at once.
MAX_POSSIBLE_CRASHES = 256


class CrashDetector:
    """Distinguishes crashes of upstreams from broken connections.

    A planned shutdown also interrupts runs, but does not count as a crash.

    :param report: called for each request that had just started on a crashed
        upstream, and each part of their prompts, with the subject, the upstream's
        incarnation id, and how it ran there.
    :param note_ended: called with the incarnation id of an upstream that a probe found
        to have ended.
    :param probe: returns whether a process listens at an address.
    :param call_later: calls a function after a delay in seconds.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        report: Callable[[str, str, CrashEvidence], None],
        note_ended: Callable[[str], None] = lambda incarnation_id: None,
        probe: Callable[[str], Liveness] = probe_liveness,
        call_later: Callable[..., object] = gevent.spawn_later,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._report = report
        self._note_ended = note_ended
        self._probe = probe
        self._call_later = call_later
        self._clock = clock
        self._possible_crashes: dict[str, PossibleCrash] = {}
        self._next_expiry_s = 0.0

    def note_interrupted(self, run: InterruptedRun) -> None:
        """Record that a run failed, and probe whether its upstream crashed."""
        upstream = run.upstream
        if run.is_ruled_out or upstream.is_leaving:
            return
        if upstream.is_gone:
            # No probe: the broken link was noticed late, and by now a new incarnation
            # may listen at the address.
            found = PossibleCrash()
            found.add(run, self._clock() + INTERRUPTED_TTL_S)
            self._report_all(upstream.incarnation_id, found)
            return
        found = self._possible_crash_of(upstream)
        if found is None:
            return
        self._schedule_probe(found, upstream, PROBE_DELAY_S)
        found.add(run, self._clock() + INTERRUPTED_TTL_S)

    def note_abandoned(self, run: InterruptedRun) -> None:
        """Record that a caller disconnected during a run.

        The end of the run cannot be observed, but a crash removes the upstream from
        the list, and other instances may notice it. There is no probe unless a part of
        its prompt is watched, since callers disconnect all the time.
        """
        if run.is_ruled_out or run.upstream.is_leaving:
            return
        found = self._possible_crash_of(run.upstream)
        if found is None:
            return
        found.add(run, self._clock() + ABANDONED_TTL_S)
        if run.watched or run.tried or run.is_trial:
            self._schedule_probe(found, run.upstream, ABANDONED_PROBE_DELAY_S)

    def note_unreachable(self, upstream: RunUpstream) -> None:
        """Record that an upstream refused a connection, or ended as others say.

        It is probed if a run that had just begun there may have crashed it.
        """
        found = self._possible_crashes.get(upstream.incarnation_id)
        if found is not None and not upstream.is_leaving:
            self._schedule_probe(found, upstream, 0.0)

    def _schedule_probe(
        self, found: PossibleCrash, upstream: RunUpstream, delay_s: float
    ) -> None:
        if not found.is_probed:
            found.is_probed = True
            self._call_later(delay_s, self._check_liveness, upstream)

    def _possible_crash_of(self, upstream: RunUpstream) -> PossibleCrash | None:
        """Return the entry of an upstream; ``None`` if too many are tracked."""
        self._expire()
        found = self._possible_crashes.get(upstream.incarnation_id)
        if found is None and len(self._possible_crashes) < MAX_POSSIBLE_CRASHES:
            found = self._possible_crashes[upstream.incarnation_id] = PossibleCrash()
        return found

    def note_upstream_gone(self, incarnation_id: str, was_leaving: bool) -> None:
        """Record that an upstream left the list or restarted.

        :param was_leaving: whether this was planned.
        """
        if was_leaving:
            self._possible_crashes.pop(incarnation_id, None)
        else:
            self._report_crash(incarnation_id, "left the list")

    def _check_liveness(self, upstream: RunUpstream) -> None:
        liveness = self._probe(upstream.address)
        found = self._possible_crashes.get(upstream.incarnation_id)
        if liveness is Liveness.ENDED:
            self._report_crash(upstream.incarnation_id, "refuses connections")
            self._note_ended(upstream.incarnation_id)
        elif liveness is Liveness.ALIVE:
            self._possible_crashes.pop(upstream.incarnation_id, None)
        elif found is not None:
            found.is_probed = False

    def _report_crash(self, incarnation_id: str, evidence: str) -> None:
        found = self._possible_crashes.pop(incarnation_id, None)
        if found is None:
            return
        found.expire(self._clock())
        if not found.started:
            return
        _log.bind(
            upstream=incarnation_id,
            evidence=evidence,
            fingerprints=list(found.started),
            parts=[started.run.parts.ids for started in found.started.values()],
        ).info("Upstream crashed under requests.")
        self._report_all(incarnation_id, found)

    def _report_all(self, incarnation_id: str, found: PossibleCrash) -> None:
        for subject, evidence in found.evidence().items():
            self._report(subject, incarnation_id, evidence)

    def _expire(self) -> None:
        now_s = self._clock()
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
        for incarnation_id, found in list(self._possible_crashes.items()):
            found.expire(now_s)
            if not found.started:
                del self._possible_crashes[incarnation_id]
