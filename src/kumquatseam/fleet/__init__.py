"""The routers as one fleet: configuration, membership, duties, snapshots.

What must be agreed goes through the log service; everything else between
routers goes over nng.
"""

from kumquatseam.fleet._changes import ChangeRefusedError, apply_changes
from kumquatseam.fleet._control import ControlClient, ControlServer
from kumquatseam.fleet._follower import (
    CONFIGURATION_TOPIC,
    ConfigurationFollower,
    ConfigurationState,
    append_change,
    read_snapshot,
    read_state,
    seed,
    write_snapshot,
)
from kumquatseam.fleet._heartbeats import HeartbeatLoop
from kumquatseam.fleet._lease import DutyLease
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
    ConfigurationRequest,
    ControlMessage,
    EngineBlocks,
    EngineLoad,
    Heartbeat,
    MemberNews,
    Placement,
    QueryAnswer,
    QueryFault,
    QueryRequest,
    RouterSummary,
    Row,
    WarmState,
    WarmStateRequest,
)
from kumquatseam.fleet._peer_configuration import PeerConfiguration
from kumquatseam.fleet._records import (
    ALTER,
    CREATE,
    DROP,
    ConfigurationRecord,
    EntityChange,
    FieldValue,
    new_record_id,
)
from kumquatseam.fleet._rollout import WeightsRollout
from kumquatseam.fleet._snapshots import SnapshotKeeper, read_warm_state
from kumquatseam.fleet._warm_start import WarmStart

__all__ = [
    "ALIVE",
    "ALTER",
    "CONFIGURATION_TOPIC",
    "CREATE",
    "ChangeRefusedError",
    "ConfigurationFollower",
    "ConfigurationRecord",
    "ConfigurationRequest",
    "ConfigurationState",
    "ControlClient",
    "ControlMessage",
    "ControlServer",
    "DEAD",
    "DROP",
    "DutyLease",
    "EngineBlocks",
    "EngineLoad",
    "EntityChange",
    "FieldValue",
    "Heartbeat",
    "HeartbeatLoop",
    "LiveConfiguration",
    "Member",
    "MemberNews",
    "Membership",
    "PeerConfiguration",
    "Placement",
    "QueryAnswer",
    "QueryFault",
    "QueryRequest",
    "RouterSummary",
    "Row",
    "SUSPECT",
    "SnapshotKeeper",
    "WarmStart",
    "WarmState",
    "WarmStateRequest",
    "WeightsRollout",
    "append_change",
    "apply_changes",
    "new_record_id",
    "next_incarnation",
    "read_snapshot",
    "read_state",
    "read_warm_state",
    "router_addresses",
    "seed",
    "write_snapshot",
]
