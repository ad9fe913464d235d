"""Checked INI settings.

Use :func:`load_settings` to read a file (or the embedded default when no path
is given); it returns a frozen :class:`Settings` or raises
:class:`kumquatseam.errors.SettingsError` naming the file, section and key.
"""

from kumquatseam.settings._loading import (
    EMBEDDED_DEFAULT_NAME,
    load_settings,
    parse_settings,
)
from kumquatseam.settings._schema import (
    POLICY_NAMES,
    DaemonSettings,
    ModelSettings,
    PrioritySettings,
    Settings,
    TeamSettings,
    UpstreamSettings,
)

__all__ = [
    "EMBEDDED_DEFAULT_NAME",
    "POLICY_NAMES",
    "DaemonSettings",
    "ModelSettings",
    "PrioritySettings",
    "Settings",
    "TeamSettings",
    "UpstreamSettings",
    "load_settings",
    "parse_settings",
]
