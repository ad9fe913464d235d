"""Records and messages about requests that crash upstreams."""

import attrs

from kumquatseam.codec import MessageCodec
from kumquatseam.quarantine._crashes import Crashes


@attrs.frozen
class CrashRecord:
    """Log service record of the upstreams that crashed while running a request.

    :param crashes: the crashes; empty if the request is no longer suspected.
    :param survivals: runs with a watched part that did not crash their upstreams.
    :param samples: sampled crashes, of which not all may be in the set.
    """

    crashes: Crashes = Crashes()
    survivals: int = 0
    samples: int = 0


@attrs.frozen
class CrashReport:
    """Report to a request's owner that an upstream crashed while running it.

    :param number: message id, repeated in the answer.
    :param fingerprint: the request.
    :param crashes: the new crash and all others known to the sender.
    :param is_copy: whether another instance has accepted the report; the receiver
        keeps the copy in case that instance fails.
    :param sampled: the upstream of the new crash, if that is sampled.
    """

    number: int
    fingerprint: str
    crashes: Crashes
    is_copy: bool = False
    sampled: str = ""


@attrs.frozen
class TrialQuestion:
    """Ask a request's owner whether a trial of the request may start now.

    :param number: message id, repeated in the answer.
    :param fingerprint: the request.
    :param crashes: the crashes known to the sender.
    :param lasts_ms: maximum time until the outcome of the trial is known.
    """

    number: int
    fingerprint: str
    crashes: Crashes
    lasts_ms: int


@attrs.frozen
class TrialAnswer:
    """Answer to a :class:`TrialQuestion`.

    :param number: id of the :class:`TrialQuestion`.
    :param is_granted: whether the trial may start.
    :param wait_ms: time to wait before the next attempt, if not granted.
    """

    number: int
    is_granted: bool
    wait_ms: int = 0


@attrs.frozen
class RunEnded:
    """Report to a request's owner that a run ended without a crash.

    :param number: message id, repeated in the answer.
    :param fingerprint: the request.
    :param was_served: whether an upstream completed it, which shows that it does not
        crash upstreams; otherwise it did not run.
    :param count: number of runs, if they had a part in common.
    :param is_trial: whether it was a trial.
    :param has_arrived: whether a trial that did not run was sent to an upstream.
    """

    number: int
    fingerprint: str
    was_served: bool
    count: int = 1
    is_trial: bool = True
    has_arrived: bool = False


@attrs.frozen
class Acknowledgement:
    """Acknowledges a :class:`CrashReport` or :class:`RunEnded`.

    :param number: id of the acknowledged message.
    :param fingerprint: the request.
    :param crashes: the crashes known to the owner.
    """

    number: int
    fingerprint: str
    crashes: Crashes = Crashes()


@attrs.frozen
class CrashNotice:
    """Broadcast to all instances of the crashes counted for a request.

    :param fingerprint: the request.
    :param crashes: see :class:`CrashRecord`.
    :param first_crash_ago_ms: time since the owner received the first report.
    :param survivals: see :class:`CrashRecord`.
    :param samples: see :class:`CrashRecord`.
    """

    fingerprint: str
    crashes: Crashes
    first_crash_ago_ms: int = 0
    survivals: int = 0
    samples: int = 0


@attrs.frozen
class EndedNotice:
    """Broadcast to all instances that an upstream ended.

    Whoever had a run there whose caller disconnected has no other news of its end.

    :param incarnation_id: the upstream.
    """

    incarnation_id: str


#: codec of the records in the log service.
RECORD_CODEC = MessageCodec("crash record", {"crashes": CrashRecord})
#: datagram messages, by kind on the wire.
DATAGRAM_KINDS = {
    "crash": CrashReport,
    "try": TrialQuestion,
    "trial": TrialAnswer,
    "run": RunEnded,
    "noted": Acknowledgement,
    "notice": CrashNotice,
    "upstream": EndedNotice,
}
#: bus messages, by kind on the wire.
BUS_KINDS = {"notice": CrashNotice, "upstream": EndedNotice}
