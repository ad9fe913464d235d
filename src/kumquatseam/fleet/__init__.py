"""The routers as one fleet: configuration, membership, duties, snapshots.

What must be agreed goes through the log service; everything else between
routers goes over nng.
"""

from kumquatseam.fleet._changes import ChangeRefusedError, apply_changes
from kumquatseam.fleet._follower import (
    CONFIGURATION_TOPIC,
    ConfigurationFollower,
    ConfigurationState,
    append_change,
    read_snapshot,
    read_state,
    write_snapshot,
)
from kumquatseam.fleet._live import LiveConfiguration
from kumquatseam.fleet._messages import (
    EngineLoad,
    Heartbeat,
    MemberNews,
    Placement,
    RouterSummary,
)
from kumquatseam.fleet._records import (
    ALTER,
    CREATE,
    DROP,
    ConfigurationRecord,
    EntityChange,
    FieldValue,
    new_record_id,
)

__all__ = [
    "ALTER",
    "CONFIGURATION_TOPIC",
    "CREATE",
    "DROP",
    "ChangeRefusedError",
    "ConfigurationFollower",
    "ConfigurationRecord",
    "ConfigurationState",
    "EngineLoad",
    "EntityChange",
    "FieldValue",
    "Heartbeat",
    "LiveConfiguration",
    "MemberNews",
    "Placement",
    "RouterSummary",
    "append_change",
    "apply_changes",
    "new_record_id",
    "read_snapshot",
    "read_state",
    "write_snapshot",
]
