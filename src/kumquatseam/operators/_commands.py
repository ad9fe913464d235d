"""Converting commands to configuration changes."""

from collections.abc import Iterable

from kumquatseam.fleet import ALTER, CREATE, DROP, EntityChange, FieldValue
from kumquatseam.operators._statements import (
    Alter,
    Assignment,
    Command,
    Create,
    Drop,
    LoadModel,
    SetUpstreamState,
)
from kumquatseam.settings import Configuration


def to_changes(
    commands: Iterable[Command], configuration: Configuration
) -> tuple[EntityChange, ...]:
    """Return the changes that ``commands`` make to ``configuration``, in order."""
    changes: list[EntityChange] = []
    for command in commands:
        changes += _command_changes(command, configuration)
    return tuple(changes)


def _command_changes(
    command: Command, configuration: Configuration
) -> list[EntityChange]:
    match command:
        case Create(kind, name, assignments):
            return [EntityChange(CREATE, kind, name, _values(assignments))]
        case Alter(kind, name, assignments):
            return [EntityChange(ALTER, kind, name, _values(assignments))]
        case Drop(kind, name):
            return [EntityChange(DROP, kind, name)]
        case SetUpstreamState(name, state):
            return [EntityChange(ALTER, "upstream", name, _value("state", state))]
        case LoadModel():
            return _load_changes(command, configuration)


def _load_changes(
    command: LoadModel, configuration: Configuration
) -> list[EntityChange]:
    """Return the changes of a load command.

    Pins the version on the named upstreams. Without any, sets the version of the
    model and removes the pins of the model from all upstreams.
    """
    pins = {
        u.name: _other_pins(u.loads, command.model) for u in configuration.upstreams
    }
    if command.upstreams:
        load = f"{command.model}@{command.version}"
        return [
            EntityChange(ALTER, "upstream", name, _loads([*pins.get(name, ()), load]))
            for name in command.upstreams
        ]
    version = _value("version", command.version)
    unpinned = [
        EntityChange(ALTER, "upstream", u.name, _loads(pins[u.name]))
        for u in configuration.upstreams
        if u.pinned_version(command.model) is not None
    ]
    return [EntityChange(ALTER, "model", command.model, version), *unpinned]


def _other_pins(loads: tuple[str, ...], model: str) -> list[str]:
    return [load for load in loads if not load.startswith(f"{model}@")]


def _loads(loads: Iterable[str]) -> tuple[FieldValue, ...]:
    return _value("loads", ", ".join(loads))


def _value(key: str, text: str) -> tuple[FieldValue, ...]:
    return (FieldValue(key, text),)


def _values(assignments: Iterable[Assignment]) -> tuple[FieldValue, ...]:
    return tuple(FieldValue(a.key, ", ".join(a.texts)) for a in assignments)
