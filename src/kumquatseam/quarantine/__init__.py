"""Quarantine of requests that crash upstreams.

A request may crash every upstream that starts to run it, and be sent again to any
instance. A single crash does not identify it, since any request that had just
started on the upstream may be the cause. The request common to the crashes of
several upstreams does, or the part that the prompts of several requests have in
common.

- :func:`fingerprint` identifies repeats of the same request.
- :class:`RunPermission` tracks one request: acquire it before each attempt, and
  record how each attempt ended.
- :class:`Quarantine` counts crashes together with the other instances, and decides
  whether a request may run.
- :class:`SuspectList` holds the suspected requests, as stored in the log service.
- :class:`kumquatseam.quarantine.follower.SuspectsFollower` updates that list in a
  program that does not use ``feeds``, and
  :class:`kumquatseam.quarantine.direct.DirectNoticeChannel` notifies peers in one
  without a peer bus. Import them from their modules: this package does not export
  them, as gateways do not need them.
"""

from kumquatseam.quarantine._errors import QuarantinedError
from kumquatseam.quarantine._fingerprint import fingerprint
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import BUS_KINDS, DATAGRAM_KINDS, CrashNotice
from kumquatseam.quarantine._parts import PromptParts
from kumquatseam.quarantine._permission import RunPermission
from kumquatseam.quarantine._probe import Liveness, probe_liveness
from kumquatseam.quarantine._publisher import (
    SUSPECTS_TOPIC,
    BusNoticeChannel,
    NoticeChannel,
)
from kumquatseam.quarantine._quarantine import Permit, Quarantine
from kumquatseam.quarantine._quarantine_parts import QuarantineParts
from kumquatseam.quarantine._runs import InterruptedRun, RunUpstream

__all__ = [
    "BUS_KINDS",
    "DATAGRAM_KINDS",
    "SUSPECTS_TOPIC",
    "InterruptedRun",
    "BusNoticeChannel",
    "CrashNotice",
    "Liveness",
    "NoticeChannel",
    "Permit",
    "PromptParts",
    "Quarantine",
    "QuarantineParts",
    "QuarantinedError",
    "RunPermission",
    "RunUpstream",
    "SuspectList",
    "fingerprint",
    "probe_liveness",
]
