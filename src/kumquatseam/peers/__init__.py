"""Instances of the gateway telling each other what changes quickly.

- :class:`PeerBus` publishes messages to the instances that listen and hands on
  theirs; nothing on it is needed for correctness, only for better choices.
- :class:`FleetView` is the order of the instances: who listens to whom.
- :class:`InstanceRegistry` finds the instances through the log service.
- :class:`LoadExchange` shares how many requests each has on each upstream, and
  what upstreams keep of prompts, in a fleet small enough for that.
- :class:`PeerQueries` are asked one instance at a time.
- :class:`DatagramSocket` carries small messages that may be lost.
- :class:`DatagramCalls` asks one instance over them, and waits for its answer.
- :class:`RendezvousOrder` says which instance looks after something for all.
"""

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._calls import DatagramCalls
from kumquatseam.peers._datagrams import DatagramLink, DatagramSocket, NullDatagramLink
from kumquatseam.peers._loads import HolderUpdateExchange, LoadExchange
from kumquatseam.peers._messages import (
    MESSAGE_KINDS,
    InstanceRecord,
    LeaseHeartbeat,
    LoadSummary,
    OrderCount,
    Presence,
    RolloutNotice,
    UpstreamLoad,
)
from kumquatseam.peers._order import FleetView, PeerLiveness, order_key
from kumquatseam.peers._questions import PeerQueries
from kumquatseam.peers._registry import INSTANCES_TOPIC, InstanceRegistry
from kumquatseam.peers._rendezvous import RendezvousOrder
from kumquatseam.peers._round_trip import RoundTripEstimate
from kumquatseam.peers._silences import UnresponsivePeers

__all__ = [
    "INSTANCES_TOPIC",
    "MESSAGE_KINDS",
    "DatagramCalls",
    "DatagramLink",
    "DatagramSocket",
    "LeaseHeartbeat",
    "FleetView",
    "PeerLiveness",
    "HolderUpdateExchange",
    "InstanceRecord",
    "InstanceRegistry",
    "LoadExchange",
    "LoadSummary",
    "NullDatagramLink",
    "OrderCount",
    "PeerBus",
    "Presence",
    "PeerQueries",
    "RendezvousOrder",
    "RolloutNotice",
    "RoundTripEstimate",
    "UnresponsivePeers",
    "UpstreamLoad",
    "order_key",
]
