"""Requests that had just started on an upstream that may have crashed."""

import attrs

from kumquatseam.quarantine._runs import InterruptedRun

#: maximum number of requests per upstream; about twice what an engine runs at once.
MAX_STARTED = 128


@attrs.frozen
class StartedRequest:
    """A request that had just started on the upstream.

    :param run: its newest run there.
    :param is_trial: whether any of them ran on trial, as the only copy in the fleet.
    :param expires_s: clock reading after which a crash is not attributed to it.
    """

    run: InterruptedRun
    is_trial: bool
    expires_s: float


@attrs.frozen
class CrashEvidence:
    """How a request, or the requests with a part, ran on an upstream that crashed.

    :param is_trial: whether one of them ran on trial.
    :param is_sampled: whether one of them began when the part was already watched.
    """

    is_trial: bool = False
    is_sampled: bool = False


@attrs.define
class PossibleCrash:
    """An upstream that may have crashed.

    :param is_probed: whether a probe is scheduled.
    :param started: the requests that had just started there, by fingerprint.
    """

    is_probed: bool = False
    started: dict[str, StartedRequest] = attrs.Factory(dict)

    def add(self, run: InterruptedRun, expires_s: float) -> None:
        """Record a run that was interrupted on the upstream."""
        known = self.started.pop(run.fingerprint, None)
        is_trial = run.is_trial
        if known is not None:
            is_trial |= known.is_trial
            expires_s = max(expires_s, known.expires_s)
        self.started[run.fingerprint] = StartedRequest(run, is_trial, expires_s)
        if len(self.started) > MAX_STARTED:
            del self.started[next(iter(self.started))]

    def expire(self, now_s: float) -> None:
        """Drop the requests to which a crash is no longer attributed."""
        for fingerprint, started in list(self.started.items()):
            if started.expires_s < now_s:
                del self.started[fingerprint]

    def evidence(self) -> dict[str, CrashEvidence]:
        """Return what a crash says about requests and parts, by subject."""
        found: dict[str, CrashEvidence] = {}
        for fingerprint, started in self.started.items():
            found[fingerprint] = CrashEvidence(started.is_trial)
            run = started.run
            for key in run.parts.subjects():
                known = found.get(key, CrashEvidence())
                found[key] = CrashEvidence(
                    known.is_trial or key in run.tried,
                    known.is_sampled or key in run.watched,
                )
        return found
