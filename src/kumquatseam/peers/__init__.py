"""Communication between the instances of the gateway.

- :class:`PeerBus` publishes messages to the instances that subscribe to this one
  and dispatches theirs. Losing its messages costs only the quality of choices,
  never correctness.
- :class:`FleetView` orders the instances and says who subscribes to whom.
- :class:`InstanceRegistry` discovers the instances through the log service.
- :class:`LoadExchange` broadcasts each instance's requests per upstream, and what
  upstreams hold of prompts, in a fleet small enough for that.
- :class:`PeerQueries` sends request-reply queries to one instance at a time.
- :class:`DatagramSocket` carries small messages that may be lost.
- :class:`DatagramCalls` calls one instance over datagrams and waits for its reply.
- :class:`KeyOwners` sends messages to the instances that own a key.
- :class:`RendezvousOrder` selects the instances that own a key.
"""

from kumquatseam.peers._bus import PeerBus
from kumquatseam.peers._calls import DatagramCalls
from kumquatseam.peers._datagrams import DatagramLink, DatagramSocket, NullDatagramLink
from kumquatseam.peers._key_owners import KeyOwners
from kumquatseam.peers._loads import HolderUpdateExchange, LoadExchange
from kumquatseam.peers._messages import (
    MESSAGE_KINDS,
    InstanceRecord,
    LeaseHeartbeat,
    LoadSummary,
    OrderCount,
    PresenceHeartbeat,
    RolloutNotice,
    UpstreamLoad,
)
from kumquatseam.peers._order import FleetView, PeerLiveness, order_key
from kumquatseam.peers._queries import PeerQueries
from kumquatseam.peers._registry import INSTANCES_TOPIC, InstanceRegistry
from kumquatseam.peers._rendezvous import RendezvousOrder
from kumquatseam.peers._round_trip import RoundTripEstimate
from kumquatseam.peers._unresponsive import UnresponsivePeers

__all__ = [
    "INSTANCES_TOPIC",
    "MESSAGE_KINDS",
    "DatagramCalls",
    "DatagramLink",
    "DatagramSocket",
    "KeyOwners",
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
    "PresenceHeartbeat",
    "PeerQueries",
    "RendezvousOrder",
    "RolloutNotice",
    "RoundTripEstimate",
    "UnresponsivePeers",
    "UpstreamLoad",
    "order_key",
]
