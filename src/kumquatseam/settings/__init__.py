"""Validated INI settings and the initial configuration that they contain.

Use :func:`load_settings` to read a file, or the embedded default without a path.
It returns a frozen :class:`Settings` or raises
:class:`kumquatseam.errors.SettingsError` with the file, section and key.
:class:`Configuration` holds the entities that operators may change at run time;
:func:`build_entity` builds one from text values.
"""

from kumquatseam.inifiles import InvalidFieldError, field_keys, format_fields
from kumquatseam.settings._configuration import Configuration, InvalidReferenceError
from kumquatseam.settings._entities import (
    ACTIVE,
    DRAINING,
    ENTITY_KINDS,
    Entity,
    ModelSettings,
    PrioritySettings,
    ServiceSettings,
    TeamSettings,
    UpstreamSettings,
    build_entity,
)
from kumquatseam.settings._loading import (
    EMBEDDED_DEFAULT_NAME,
    load_settings,
    parse_settings,
)
from kumquatseam.settings._schema import (
    POLICY_NAMES,
    AdmissionSettings,
    CallerSettings,
    DaemonSettings,
    FleetSettings,
    InstanceSettings,
    LogSettings,
    Settings,
)

__all__ = [
    "ACTIVE",
    "DRAINING",
    "EMBEDDED_DEFAULT_NAME",
    "ENTITY_KINDS",
    "POLICY_NAMES",
    "AdmissionSettings",
    "CallerSettings",
    "Configuration",
    "DaemonSettings",
    "Entity",
    "InvalidFieldError",
    "FleetSettings",
    "InstanceSettings",
    "LogSettings",
    "ModelSettings",
    "PrioritySettings",
    "InvalidReferenceError",
    "ServiceSettings",
    "Settings",
    "TeamSettings",
    "UpstreamSettings",
    "build_entity",
    "field_keys",
    "load_settings",
    "parse_settings",
    "format_fields",
]
