"""Apply an operator's changes to a configuration, as a pure function.

The operator tool applies a command locally to validate it before appending
it. Every daemon applies the same record at the same offset, so all daemons
reach the same configuration.
"""

from collections.abc import Iterable

import attrs

from kumquatseam.errors import KumquatseamError
from kumquatseam.fleet._records import ALTER, CREATE, DROP, EntityChange
from kumquatseam.settings import (
    Configuration,
    InvalidFieldError,
    InvalidReferenceError,
    build_entity,
    format_fields,
)


@attrs.define(frozen=True, eq=False)
class ChangeRefusedError(KumquatseamError):
    """A change is invalid for the configuration it would apply to.

    :param change: the rejected change; no change of its command is applied.
    :param reason: why it is invalid, in one short sentence.
    """

    change: EntityChange
    reason: str

    def __str__(self) -> str:
        change = self.change
        return f"operators: cannot {change.verb} {change.kind} {change.name}: " + (
            self.reason
        )


def apply_changes(
    configuration: Configuration, changes: Iterable[EntityChange]
) -> Configuration:
    """Return ``configuration`` with all of ``changes`` applied in order.

    :raises ChangeRefusedError: if a change is invalid; none is applied then.
    """
    change = None
    for change in changes:
        configuration = _apply(configuration, change)
    if change is None:
        return configuration
    try:
        configuration.check()
    except InvalidReferenceError as fault:
        raise ChangeRefusedError(change, str(fault)) from fault
    return configuration


def _apply(configuration: Configuration, change: EntityChange) -> Configuration:
    existing = configuration.find(change.kind, change.name)
    if change.verb == CREATE and existing is not None:
        raise ChangeRefusedError(change, "it already exists")
    if change.verb != CREATE and existing is None:
        raise ChangeRefusedError(change, "it does not exist")
    if change.verb == DROP:
        return configuration.without_entity(change.kind, change.name)
    texts = format_fields(existing) if change.verb == ALTER else {}
    texts.update({field.key: field.text for field in change.fields})
    try:
        entity = build_entity(change.kind, change.name, texts)
    except InvalidFieldError as fault:
        raise ChangeRefusedError(change, str(fault)) from fault
    return configuration.with_entity(change.kind, entity)
