"""Instances of the gateway telling each other what changes quickly.

- :class:`PeerBus` publishes messages to the instances that listen and hands on
  theirs; nothing on it is needed for correctness, only for better choices.
- :class:`FleetView` is the order of the instances: who listens to whom.
- :class:`InstanceRegistry` finds the instances through the log service.
- :class:`LoadExchange` shares how many requests each has on each upstream, and
  what upstreams keep of prompts, in a fleet small enough for that.
- :class:`Questions` are asked one instance at a time.
- :class:`DatagramSocket` carries small messages that may be lost.
- :class:`DatagramCalls` asks one instance over them, and waits for its answer.
- :class:`RendezvousOrder` says which instance looks after something for all.
"""

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._calls import DatagramCalls
from kumquatseam.peers._datagrams import DatagramLink, DatagramSocket, NoDatagrams
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
from kumquatseam.peers._order import FleetView, Hearing, order_key
from kumquatseam.peers._questions import Questions
from kumquatseam.peers._registry import INSTANCES_TOPIC, InstanceRegistry
from kumquatseam.peers._rendezvous import RendezvousOrder
from kumquatseam.peers._round_trip import RoundTripEstimate
from kumquatseam.peers._silences import Silences

__all__ = [
    "INSTANCES_TOPIC",
    "MESSAGE_KINDS",
    "DatagramCalls",
    "DatagramLink",
    "DatagramSocket",
    "DutyHeld",
    "FleetView",
    "Hearing",
    "HeldNews",
    "InstanceRecord",
    "InstanceRegistry",
    "LoadExchange",
    "LoadSummary",
    "NoDatagrams",
    "OrderCount",
    "PeerBus",
    "Presence",
    "Questions",
    "RendezvousOrder",
    "RolloutNotice",
    "RoundTripEstimate",
    "Silences",
    "UpstreamLoad",
    "order_key",
]
