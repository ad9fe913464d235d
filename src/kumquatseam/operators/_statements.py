"""Statements of the operators' language, as returned by the parser."""

import attrs


@attrs.frozen
class Condition:
    """A filter on one column of a query's rows.

    :param column: the column's name.
    :param equal: whether the value must equal ``text``; otherwise it must differ.
    :param text: the value to compare with; for a list column, one of its elements.
    """

    column: str
    equal: bool
    text: str


@attrs.frozen
class Query:
    """A query to all routers.

    :param subject: subject of the query, e.g. ``"running"``.
    :param conditions: conditions that every returned row meets.
    :param since_s: return only events of the last ``since_s`` seconds.
    """

    subject: str
    conditions: tuple[Condition, ...] = ()
    since_s: float | None = None


@attrs.frozen
class Assignment:
    """A key and its new values."""

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
    """Drain or undrain an upstream.

    :param state: ``"draining"`` or ``"active"``.
    """

    name: str
    state: str


@attrs.frozen
class LoadModel:
    """Load a version of a model's weights, on some upstreams or on all.

    :param upstreams: the upstreams; empty means every upstream with the model.
    """

    model: str
    version: str
    upstreams: tuple[str, ...]


Command = Create | Alter | Drop | SetUpstreamState | LoadModel


@attrs.frozen
class Commands:
    """Commands of one text, applied atomically."""

    commands: tuple[Command, ...]
