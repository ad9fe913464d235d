"""Configuration records kept in the log service, and their codec.

A change names one entity and gives text values, as the INI file does, so a
record stays readable for a daemon that knows more or fewer fields.
"""

import uuid

import attrs

from kumquatseam.codec import MessageCodec
from kumquatseam.settings import Configuration, build_entity, write_fields

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
    """A change to one entity.

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
class ConfigurationRecord:
    """Changes one operator command makes, all or none of them.

    :param record_id: unique, so a lost answer can be resolved by reading back.
    :param operator: who issued it.
    :param changes: in order.
    """

    record_id: str
    operator: str
    changes: tuple[EntityChange, ...]


@attrs.frozen
class ConfigurationSnapshot:
    """A whole configuration as text values.

    :param record_id: unique.
    :param next_offset: the offset after the last record it includes.
    :param entities: one creation per entity, referenced kinds first.
    """

    record_id: str
    next_offset: int
    entities: tuple[EntityChange, ...]


RECORD_CODEC = MessageCodec(
    "configuration record",
    {"change": ConfigurationRecord, "snapshot": ConfigurationSnapshot},
)


def new_record_id() -> str:
    """Return an id no other record has."""
    return uuid.uuid4().hex


def snapshot_of(configuration: Configuration, next_offset: int):
    """Return ``configuration`` as a :class:`ConfigurationSnapshot`."""
    entities = tuple(
        EntityChange(CREATE, kind, entity.name, _values(entity))
        for kind, entity in configuration.entities()
    )
    return ConfigurationSnapshot(new_record_id(), next_offset, entities)


def configuration_of(snapshot: ConfigurationSnapshot) -> Configuration:
    """Return the configuration a snapshot holds."""
    return Configuration.of(
        (e.kind, build_entity(e.kind, e.name, {f.key: f.text for f in e.fields}))
        for e in snapshot.entities
    )


def _values(entity) -> tuple[FieldValue, ...]:
    texts = write_fields(entity)
    return tuple(FieldValue(key, text) for key, text in texts.items())
