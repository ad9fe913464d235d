"""Instances of the gateway telling each other what changes quickly.

- :class:`PeerBus` publishes messages to the instances that listen and hands on
  theirs; nothing on it is needed for correctness, only for better choices.
- :class:`FleetView` is the order of the instances: who listens to whom.
- :class:`InstanceRegistry` finds the instances through the log service.
- :class:`LoadExchange` shares how many requests each has on each upstream, and
  what upstreams keep of prompts.
- :class:`Questions` are asked one instance at a time.
"""

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._loads import HeldNews, LoadExchange
from kumquatseam.peers._messages import (
    MESSAGE_KINDS,
    FleetSummary,
    InstanceRecord,
    LoadSummary,
    OrderCount,
    RolloutNotice,
    UpstreamLoad,
)
from kumquatseam.peers._order import FleetView, Hearing, order_key
from kumquatseam.peers._questions import Questions
from kumquatseam.peers._registry import INSTANCES_TOPIC, InstanceRegistry

__all__ = [
    "INSTANCES_TOPIC",
    "MESSAGE_KINDS",
    "FleetSummary",
    "FleetView",
    "Hearing",
    "HeldNews",
    "InstanceRecord",
    "InstanceRegistry",
    "LoadExchange",
    "LoadSummary",
    "OrderCount",
    "PeerBus",
    "Questions",
    "RolloutNotice",
    "UpstreamLoad",
    "order_key",
]
