"""Requests that had just started on an upstream that may have crashed."""

import attrs

from kumquatseam.quarantine._runs import InterruptedRun

#: maximum number of requests per upstream; about twice what an engine runs at once.
MAX_STARTED = 128


@attrs.frozen
class StartedRequest:
    """A request that had just started on the upstream.

    :param is_trial: whether it ran on trial, as the only copy in the fleet.
    :param expires_s: clock reading after which a crash is not attributed to it.
    :param parts: the parts of its prompt that other requests may share.
    """

    is_trial: bool
    expires_s: float
    parts: tuple[str, ...] = ()


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
        known = self.started.pop(
            run.fingerprint, StartedRequest(run.is_trial, expires_s)
        )
        is_trial = run.is_trial or known.is_trial
        self.started[run.fingerprint] = StartedRequest(
            is_trial, max(expires_s, known.expires_s), run.parts
        )
        if len(self.started) > MAX_STARTED:
            del self.started[next(iter(self.started))]

    def expire(self, now_s: float) -> None:
        """Drop the requests to which a crash is no longer attributed."""
        for fingerprint, started in list(self.started.items()):
            if started.expires_s < now_s:
                del self.started[fingerprint]
