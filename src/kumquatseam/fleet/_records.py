"""Configuration records in the log service, and their codec.

The configuration is stored in one keyed topic, in which the newest record of
each entity never expires. An operator's command appends the complete state
of every entity it changes, in one append. Values are texts, as in the INI
file, so that daemons of versions with more or fewer fields can decode them.
"""

import uuid

import attrs

from kumquatseam.codec import MessageCodec
from kumquatseam.settings import Configuration, Entity, build_entity, format_fields

CREATE = "create"
ALTER = "alter"
DROP = "drop"


@attrs.frozen
class FieldValue:
    """One key of an entity and its text value."""

    key: str
    text: str


@attrs.frozen
class EntityChange:
    """A change to one entity, as given in an operator's command.

    :param verb: :data:`CREATE`, :data:`ALTER` or :data:`DROP`.
    :param kind: the kind of entity, e.g. ``"team"``.
    :param name: its name.
    :param fields: the values given; :data:`ALTER` leaves the others unchanged.
    """

    verb: str
    kind: str
    name: str
    fields: tuple[FieldValue, ...] = ()


@attrs.frozen
class EntityRecord:
    """An entity's state after a command; the record's key identifies the entity.

    :param command_id: unique per command, so that after a lost reply the append
        can be confirmed by reading the log.
    :param operator: who issued the command.
    :param index: index of this record among the command's records.
    :param count: number of records of the command; all are applied together.
    :param is_dropped: whether the entity was dropped.
    :param fields: every value of the entity.
    """

    command_id: str
    operator: str
    index: int
    count: int
    is_dropped: bool
    fields: tuple[FieldValue, ...] = ()


@attrs.frozen
class EntityText:
    """An entity by kind, name and text values."""

    kind: str
    name: str
    fields: tuple[FieldValue, ...]


@attrs.frozen
class ConfigurationSnapshot:
    """A complete configuration as text values, sent between routers.

    :param next_offset: offset after the last record it includes.
    :param entities: every entity.
    """

    next_offset: int
    entities: tuple[EntityText, ...]


RECORD_CODEC = MessageCodec("configuration record", {"entity": EntityRecord})


def new_record_id() -> str:
    """Return a unique id."""
    return uuid.uuid4().hex


def entity_key(kind: str, name: str) -> str:
    """Return the key of an entity's records."""
    return f"{kind}:{name}"


def split_entity_key(key: str) -> tuple[str, str]:
    """Return the kind and name of an entity's key."""
    kind, _, name = key.partition(":")
    return kind, name


def field_values(entity: Entity) -> tuple[FieldValue, ...]:
    """Return every value of ``entity`` as text."""
    return tuple(FieldValue(k, text) for k, text in format_fields(entity).items())


def parse_entity(kind: str, name: str, fields: tuple[FieldValue, ...]) -> Entity:
    """Return the entity built from text values.

    :raises InvalidFieldError: if a value is missing or invalid.
    """
    return build_entity(kind, name, {field.key: field.text for field in fields})


def to_snapshot(configuration: Configuration, next_offset: int):
    """Return ``configuration`` as a :class:`ConfigurationSnapshot`."""
    entities = tuple(
        EntityText(kind, entity.name, field_values(entity))
        for kind, entity in configuration.entities()
    )
    return ConfigurationSnapshot(next_offset, entities)


def from_snapshot(snapshot: ConfigurationSnapshot) -> Configuration:
    """Return the configuration in ``snapshot``.

    :raises InvalidFieldError: if an entity is invalid.
    """
    return Configuration.from_entities(
        (e.kind, parse_entity(e.kind, e.name, e.fields)) for e in snapshot.entities
    )
