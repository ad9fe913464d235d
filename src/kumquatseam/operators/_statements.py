"""What a parsed text of the operators' language says."""

import attrs


@attrs.frozen
class Condition:
    """A filter on one column of a query's rows.

    :param column: the column's name.
    :param equal: whether the value must be equal (else: must differ).
    :param text: the value; for a list, one of its members.
    """

    column: str
    equal: bool
    text: str


@attrs.frozen
class Query:
    """A question to the fleet.

    :param subject: what is asked for, e.g. ``"running"``.
    :param conditions: all of them must hold for a row.
    :param since_s: only what happened in the last so many seconds.
    """

    subject: str
    conditions: tuple[Condition, ...] = ()
    since_s: float | None = None


@attrs.frozen
class Assignment:
    """A key and the values it is to have."""

    key: str
    texts: tuple[str, ...]


@attrs.frozen
class Create:
    """Create an entity."""

    kind: str
    name: str
    assignments: tuple[Assignment, ...]


@attrs.frozen
class Alter:
    """Change some keys of an entity."""

    kind: str
    name: str
    assignments: tuple[Assignment, ...]


@attrs.frozen
class Drop:
    """Remove an entity."""

    kind: str
    name: str


@attrs.frozen
class SetUpstreamState:
    """Drain or undrain an engine.

    :param state: ``"draining"`` or ``"active"``.
    """

    name: str
    state: str


@attrs.frozen
class LoadModel:
    """Run a version of a model's weights, on some engines or on all.

    :param upstreams: the engines; empty means every engine of the model.
    """

    model: str
    version: str
    upstreams: tuple[str, ...]


Command = Create | Alter | Drop | SetUpstreamState | LoadModel


@attrs.frozen
class Commands:
    """Commands given in one text: all of them apply, or none."""

    commands: tuple[Command, ...]
