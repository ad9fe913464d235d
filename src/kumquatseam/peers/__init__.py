"""Instances of the gateway telling each other what changes quickly.

- :class:`PeerBus` publishes messages to the instances that listen and hands on
  theirs; nothing on it is needed for correctness, only for better choices.
- :class:`FleetView` is the order of the instances: who listens to whom.
- :class:`InstanceRegistry` finds the instances through the log service.
- :class:`LoadExchange` shares how many requests each has on each upstream, and
  what upstreams keep of prompts, in a fleet small enough for that.
- :class:`Questions` are asked one instance at a time.
"""

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._loads import HeldNews, LoadExchange
from kumquatseam.peers._messages import (
    MESSAGE_KINDS,
    DutyHeld,
    InstanceRecord,
    LoadSummary,
    OrderCount,
    Presence,
    RolloutNotice,
    UpstreamLoad,
)
from kumquatseam.peers._order import COUNCIL, FleetView, Hearing, order_key
from kumquatseam.peers._questions import Questions
from kumquatseam.peers._registry import INSTANCES_TOPIC, InstanceRegistry

__all__ = [
    "COUNCIL",
    "INSTANCES_TOPIC",
    "MESSAGE_KINDS",
    "DutyHeld",
    "FleetView",
    "Hearing",
    "HeldNews",
    "InstanceRecord",
    "InstanceRegistry",
    "LoadExchange",
    "LoadSummary",
    "OrderCount",
    "PeerBus",
    "Presence",
    "Questions",
    "RolloutNotice",
    "UpstreamLoad",
    "order_key",
]
