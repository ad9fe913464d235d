"""Conversion between text values and the fields of an ``attrs`` class.

The INI loader and the operators' language both describe teams, models and
upstreams as text values by key. Both use :func:`parse_fields`: it converts a value
by the field's type, validates it by the field's metadata (see :func:`setting`) and
raises :class:`InvalidFieldError` with the key.
"""

from collections.abc import Mapping

import attrs

from kumquatseam.errors import KumquatseamError

_KEY = "key"
_POSITIVE = "positive"
_CHOICES = "choices"
_BOOLEANS = {"true": True, "false": False}
#: the field with an entity's name, which is given outside the keys.
NAME_FIELD = "name"


@attrs.define(frozen=True, eq=False)
class InvalidFieldError(KumquatseamError):
    """A key is unknown, or its value is missing or malformed.

    :param key: the invalid key; ``""`` for the whole section.
    :param reason: what is wrong, in one short sentence.
    """

    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.key}: {self.reason}" if self.key else self.reason


def setting(
    key: str | None = None,
    positive: bool = False,
    choices: tuple[str, ...] = (),
    default=attrs.NOTHING,
):
    """Declare a field that is parsed from a text value.

    :param key: key of the value; by default the name of the field.
    :param positive: whether the number must be greater than zero.
    :param choices: allowed values of a text; empty allows any.
    :param default: value if the key is absent; without it the key is required.
    """
    metadata = {_KEY: key, _POSITIVE: positive, _CHOICES: choices}
    return attrs.field(default=default, metadata=metadata)


def field_keys(cls: type) -> dict[str, attrs.Attribute]:
    """Return the fields of ``cls`` by key."""
    return {
        field.metadata.get(_KEY) or field.name: field
        for field in attrs.fields(cls)
        if field.name != NAME_FIELD
    }


def parse_fields(cls: type, raw: Mapping[str, str]) -> dict[str, object]:
    """Return constructor arguments for ``cls``, parsed from text values.

    :param raw: text value by key.
    :raises InvalidFieldError: for the first unknown, missing or malformed key.
    """
    fields = field_keys(cls)
    for key in raw:
        if key not in fields:
            raise InvalidFieldError(key, "unknown key")
    values = {}
    for key, field in fields.items():
        text = raw.get(key, "").strip()
        if text:
            values[field.name] = _convert(key, field, text)
        elif field.default is attrs.NOTHING:
            raise InvalidFieldError(key, "missing")
    return values


def format_fields(entity: object) -> dict[str, str]:
    """Return the text values of ``entity``; the inverse of :func:`parse_fields`."""
    texts = {}
    for key, field in field_keys(type(entity)).items():
        value = getattr(entity, field.name)
        texts[key] = ", ".join(value) if isinstance(value, tuple) else str(value)
    return texts


def _convert(key: str, field: attrs.Attribute, text: str):
    if field.type is bool:
        if text.lower() not in _BOOLEANS:
            raise InvalidFieldError(key, f"must be true or false: {text!r}")
        return _BOOLEANS[text.lower()]
    if field.type not in (str, int, float):
        return tuple(name.strip() for name in text.split(",") if name.strip())
    try:
        value = field.type(text)
    except ValueError as error:
        reason = f"not a valid {field.type.__name__}: {text!r}"
        raise InvalidFieldError(key, reason) from error
    if field.type is str:
        choices = field.metadata.get(_CHOICES)
        if choices and value not in choices:
            raise InvalidFieldError(key, f"must be one of {', '.join(choices)}")
        return value
    if value < 0:
        raise InvalidFieldError(key, f"must not be negative: {text!r}")
    if value == 0 and field.metadata.get(_POSITIVE):
        raise InvalidFieldError(key, "must be positive")
    return value
