"""Coordination between routers: configuration, membership, rollout, snapshots.

State that needs agreement goes through the log service; all other messages
between routers go over nng.
"""

from kumquatseam.fleet._changes import ChangeRefusedError, apply_changes
from kumquatseam.fleet._follower import (
    CONFIGURATION_TOPIC,
    Command,
    ConfigurationFollower,
    ConfigurationState,
    append_command,
    load_newest,
    read_current,
)
from kumquatseam.fleet._heartbeats import HeartbeatLoop
from kumquatseam.fleet._live import LiveConfiguration
from kumquatseam.fleet._membership import (
    ALIVE,
    DEAD,
    SUSPECT,
    Member,
    Membership,
    next_incarnation,
    router_addresses,
)
from kumquatseam.fleet._messages import (
    CONTROL_CODEC,
    ConfigurationRequest,
    ControlMessage,
    EngineBlocks,
    Heartbeat,
    MembershipUpdate,
    Placement,
    QueryAnswer,
    QueryFault,
    QueryRequest,
    RankCounts,
    RouterSummary,
    Row,
    WarmState,
    WarmStateRequest,
    engine_id,
)
from kumquatseam.fleet._peer_configuration import PeerBootstrap, PeerConfigurationSync
from kumquatseam.fleet._records import (
    ALTER,
    CREATE,
    DROP,
    ConfigurationSnapshot,
    EntityChange,
    FieldValue,
)
from kumquatseam.fleet._rollout import EngineReports, WeightsRollout
from kumquatseam.fleet._router_records import RouterRecords
from kumquatseam.fleet._snapshots import SnapshotWriter, read_warm_state
from kumquatseam.fleet._warm_start import WarmStart

__all__ = [
    "CONTROL_CODEC",
    "engine_id",
    "Command",
    "ConfigurationSnapshot",
    "append_command",
    "load_newest",
    "read_current",
    "ALIVE",
    "ALTER",
    "CONFIGURATION_TOPIC",
    "CREATE",
    "ChangeRefusedError",
    "ConfigurationFollower",
    "ConfigurationRequest",
    "ConfigurationState",
    "ControlMessage",
    "DEAD",
    "DROP",
    "EngineBlocks",
    "EngineReports",
    "EntityChange",
    "FieldValue",
    "Heartbeat",
    "HeartbeatLoop",
    "LiveConfiguration",
    "Member",
    "MembershipUpdate",
    "Membership",
    "PeerConfigurationSync",
    "PeerBootstrap",
    "Placement",
    "QueryAnswer",
    "QueryFault",
    "QueryRequest",
    "RankCounts",
    "RouterRecords",
    "RouterSummary",
    "Row",
    "SUSPECT",
    "SnapshotWriter",
    "WarmStart",
    "WarmState",
    "WarmStateRequest",
    "WeightsRollout",
    "apply_changes",
    "next_incarnation",
    "read_warm_state",
    "router_addresses",
]
