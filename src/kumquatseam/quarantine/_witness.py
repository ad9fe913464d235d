"""Which requests an upstream had just begun when it ended."""

import time
from collections.abc import Callable

import gevent

from kumquatseam.logs import part_logger
from kumquatseam.quarantine._probe import Liveness, probe
from kumquatseam.quarantine._runs import BrokenRun, RunUpstream
from kumquatseam.quarantine._uncertain import UncertainUpstream

_log = part_logger("quarantine")

#: pause before an upstream is probed: as a process ends, its connections may close
#: a moment before its port.
PROBE_DELAY_S = 0.02
#: an upstream that fell silent has left the list after this long, if it ended.
UNCERTAIN_FOR_S = 10.0
#: one that ended under a run whose caller had left has left the list after this
#: long; what ended later had dropped that run before.
ABANDONED_FOR_S = 5.0
#: pause between two looks for what may be forgotten.
FORGET_EVERY_S = 1.0
#: upstreams at a time whose end is uncertain.
MAX_UNCERTAIN = 256


class CrashWitness:
    """Tells upstreams that crashed from connections that broke.

    An upstream that leaves as planned cuts what it still has; that is no crash.

    :param report: called with each request an upstream had just begun when it
        crashed, the upstream's incarnation, and whether it ran there on trial.
    :param look: finds out whether a process listens at an address.
    :param later: calls a function after so many seconds.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        report: Callable[[str, str, bool], None],
        look: Callable[[str], Liveness] = probe,
        later: Callable[..., object] = gevent.spawn_later,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._report = report
        self._look = look
        self._later = later
        self._clock = clock
        self._uncertain: dict[str, UncertainUpstream] = {}
        self._forget_next_s = 0.0

    def note_broken(self, run: BrokenRun) -> None:
        """Take in that a run broke off, and find out whether its upstream ended."""
        upstream = run.upstream
        if run.is_settled or upstream.is_leaving:
            return
        if upstream.is_gone:
            # Seen late, over a link that was cut: by now another incarnation may
            # listen at its address.
            self._report(run.fingerprint, upstream.incarnation_id, run.is_trial)
            return
        found = self._uncertain_upstream(upstream)
        if found is None:
            return
        if not found.is_probed:
            found.is_probed = True
            self._later(PROBE_DELAY_S, self._probe, upstream)
        found.add(run, self._clock() + UNCERTAIN_FOR_S)

    def note_abandoned(self, run: BrokenRun) -> None:
        """Take in that a caller left while a run of its request was under way.

        How the run ends, nobody sees; the list tells if its upstream ends. It is not
        probed: callers leave all the time.
        """
        if run.is_settled or run.upstream.is_leaving:
            return
        found = self._uncertain_upstream(run.upstream)
        if found is not None:
            found.add(run, self._clock() + ABANDONED_FOR_S)

    def _uncertain_upstream(self, upstream: RunUpstream) -> UncertainUpstream | None:
        """Return what is noted of an upstream; ``None`` if too many are noted."""
        self._forget_old()
        found = self._uncertain.get(upstream.incarnation_id)
        if found is None and len(self._uncertain) < MAX_UNCERTAIN:
            found = self._uncertain[upstream.incarnation_id] = UncertainUpstream()
        return found

    def note_upstream_gone(self, incarnation_id: str, was_leaving: bool) -> None:
        """Take in that an upstream left the list, or started again.

        :param was_leaving: whether that was planned.
        """
        if was_leaving:
            self._uncertain.pop(incarnation_id, None)
        else:
            self._confirm(incarnation_id, "left the list")

    def _probe(self, upstream: RunUpstream) -> None:
        liveness = self._look(upstream.address)
        found = self._uncertain.get(upstream.incarnation_id)
        if liveness is Liveness.ENDED:
            self._confirm(upstream.incarnation_id, "refuses connections")
        elif liveness is Liveness.ALIVE:
            self._uncertain.pop(upstream.incarnation_id, None)
        elif found is not None:
            found.is_probed = False

    def _confirm(self, incarnation_id: str, evidence: str) -> None:
        found = self._uncertain.pop(incarnation_id, None)
        if found is None:
            return
        found.forget_old(self._clock())
        if not found.begun:
            return
        _log.bind(
            upstream=incarnation_id,
            evidence=evidence,
            fingerprints=list(found.begun),
        ).info("Upstream crashed under requests.")
        for fingerprint, begun in found.begun.items():
            self._report(fingerprint, incarnation_id, begun.is_trial)

    def _forget_old(self) -> None:
        now_s = self._clock()
        if now_s < self._forget_next_s:
            return
        self._forget_next_s = now_s + FORGET_EVERY_S
        for incarnation_id, found in list(self._uncertain.items()):
            found.forget_old(now_s)
            if not found.begun:
                del self._uncertain[incarnation_id]
