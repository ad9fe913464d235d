"""Configuration records kept in the log service, and their codec.

The configuration lives in one keyed topic: the newest record of each entity
is kept for good, whatever else the log forgets. An operator's command
appends the entities it changes, whole, in one append. Values are texts, as
in the INI file, so a record stays readable for a daemon that knows more or
fewer fields.
"""

import uuid

import attrs

from kumquatseam.codec import MessageCodec
from kumquatseam.settings import Configuration, Entity, build_entity, write_fields

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
    """A change to one entity, as an operator's command names it.

    :param verb: :data:`CREATE`, :data:`ALTER` or :data:`DROP`.
    :param kind: the kind of entity, e.g. ``"team"``.
    :param name: its name.
    :param fields: the values given; an alteration leaves the others as is.
    """

    verb: str
    kind: str
    name: str
    fields: tuple[FieldValue, ...] = ()


@attrs.frozen
class EntityRecord:
    """An entity as a command left it; the record's key names the entity.

    :param command_id: unique per command, so a lost answer can be resolved
        by reading back.
    :param operator: who issued the command.
    :param index: this record's place among the command's records.
    :param count: how many records the command has; all apply together.
    :param is_dropped: whether the entity is no more.
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
    """A whole configuration as text values, told between routers.

    :param next_offset: the offset after the last record it includes.
    :param entities: every entity.
    """

    next_offset: int
    entities: tuple[EntityText, ...]


RECORD_CODEC = MessageCodec("configuration record", {"entity": EntityRecord})


def new_record_id() -> str:
    """Return an id no other record has."""
    return uuid.uuid4().hex


def entity_key(kind: str, name: str) -> str:
    """Return the key of an entity's records."""
    return f"{kind}:{name}"


def split_entity_key(key: str) -> tuple[str, str]:
    """Return the kind and name of an entity's key."""
    kind, _, name = key.partition(":")
    return kind, name


def values_of(entity: Entity) -> tuple[FieldValue, ...]:
    """Return every value of ``entity`` as text."""
    return tuple(FieldValue(k, text) for k, text in write_fields(entity).items())


def entity_of(kind: str, name: str, fields: tuple[FieldValue, ...]) -> Entity:
    """Return the entity described by text values.

    :raises FieldFault: if they do not describe one.
    """
    return build_entity(kind, name, {field.key: field.text for field in fields})


def snapshot_of(configuration: Configuration, next_offset: int):
    """Return ``configuration`` as a :class:`ConfigurationSnapshot`."""
    entities = tuple(
        EntityText(kind, entity.name, values_of(entity))
        for kind, entity in configuration.entities()
    )
    return ConfigurationSnapshot(next_offset, entities)


def configuration_of(snapshot: ConfigurationSnapshot) -> Configuration:
    """Return the configuration a snapshot holds.

    :raises FieldFault: if an entity cannot be read.
    """
    return Configuration.of(
        (e.kind, entity_of(e.kind, e.name, e.fields)) for e in snapshot.entities
    )
