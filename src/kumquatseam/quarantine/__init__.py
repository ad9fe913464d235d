"""Keeping upstreams from requests that crash them.

A request may crash each upstream that begins to run it, and come again, at any
instance. Nobody sees that from one crash: whatever was being begun there is under
suspicion. What the crashes of several upstreams have in common is.

- :func:`fingerprint` says whether two requests ask for the same.
- :class:`RunPermission` is asked before each attempt at a request and told how it
  ended.
- :class:`Quarantine` stands behind it: it counts crashes together with the other
  instances, and knows which requests are suspected.
- :class:`SuspectList` takes in what is kept of that in the log service.
- :class:`kumquatseam.quarantine.follower.SuspectsFollower` reads it for a program
  that reads its topics itself; it is imported by itself, since others don't.
"""

from kumquatseam.quarantine._errors import QuarantinedError
from kumquatseam.quarantine._fingerprint import fingerprint
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import BUS_KINDS, DATAGRAM_KINDS, CrashNotice
from kumquatseam.quarantine._permission import RunPermission
from kumquatseam.quarantine._probe import Liveness
from kumquatseam.quarantine._publisher import (
    SUSPECTS_TOPIC,
    BusNoticeChannel,
    DirectNoticeChannel,
    NoticeChannel,
)
from kumquatseam.quarantine._quarantine import Permit, Quarantine, QuarantineParts
from kumquatseam.quarantine._runs import BrokenRun, RunUpstream

__all__ = [
    "BUS_KINDS",
    "DATAGRAM_KINDS",
    "SUSPECTS_TOPIC",
    "BrokenRun",
    "BusNoticeChannel",
    "CrashNotice",
    "DirectNoticeChannel",
    "Liveness",
    "NoticeChannel",
    "Permit",
    "Quarantine",
    "QuarantineParts",
    "QuarantinedError",
    "RunPermission",
    "RunUpstream",
    "SuspectList",
    "fingerprint",
]
