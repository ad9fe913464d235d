"""Reading and validating the INI file.

Sections: ``[daemon]``, the optional ``[log]``, ``[instances]``, ``[fleet]``,
``[admission]`` and ``[callers]``, and one ``[KIND:NAME]`` per entity. Every value must
have the type of its key and every entity referred to must exist; the first error found
is raised as :class:`~kumquatseam.errors.SettingsError`.
"""

import configparser
import importlib.resources
from pathlib import Path

from kumquatseam.errors import SettingsError
from kumquatseam.inifiles import InvalidFieldError, parse_ini, read_section
from kumquatseam.settings._configuration import Configuration, InvalidReferenceError
from kumquatseam.settings._entities import ENTITY_KINDS, build_entity
from kumquatseam.settings._schema import (
    AdmissionSettings,
    CallerSettings,
    DaemonSettings,
    FleetSettings,
    InstanceSettings,
    LogSettings,
    Settings,
)

EMBEDDED_DEFAULT_NAME = "<embedded default>"
_DAEMON = "daemon"
_OPTIONAL_SECTIONS = {
    "log": LogSettings,
    "instances": InstanceSettings,
    "fleet": FleetSettings,
    "admission": AdmissionSettings,
    "callers": CallerSettings,
}


def load_settings(path: str | None = None) -> Settings:
    """Read settings from ``path``, or the embedded default when ``None``.

    :param path: an INI file, which must exist.
    :returns: the validated settings.
    :raises SettingsError: for the first error found.
    """
    if path is None:
        text = (
            importlib.resources.files("kumquatseam.settings")
            .joinpath("default.ini")
            .read_text(encoding="utf-8")
        )
        return parse_settings(text, EMBEDDED_DEFAULT_NAME)
    file = Path(path)
    if not file.is_file():
        raise SettingsError(path, "", "", "file not found")
    return parse_settings(file.read_text(encoding="utf-8"), path)


def parse_settings(text: str, source: str) -> Settings:
    """Parse and validate INI text.

    :param text: the INI document.
    :param source: its origin, used in error messages.
    :returns: the validated settings.
    :raises SettingsError: for the first error found.
    """
    parser = parse_ini(text, source)
    _check_sections(parser, source)
    return Settings(
        source=source,
        daemon=_daemon(parser, source),
        configuration=_configuration(parser, source),
        **{
            name: read_section(parser, source, name, cls)
            for name, cls in _OPTIONAL_SECTIONS.items()
        },
    )


def _check_sections(parser: configparser.ConfigParser, source: str) -> None:
    plain = {_DAEMON, *_OPTIONAL_SECTIONS}
    for section in parser.sections():
        kind, colon, name = section.partition(":")
        known = kind in ENTITY_KINDS and name.strip() if colon else section in plain
        if not known:
            raise SettingsError(source, section, "", "unknown section")


def _daemon(parser: configparser.ConfigParser, source: str) -> DaemonSettings:
    if not parser.has_section(_DAEMON):
        raise SettingsError(source, _DAEMON, "", "missing section")
    daemon = read_section(parser, source, _DAEMON, DaemonSettings)
    host, _, port = daemon.listen.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(source, _DAEMON, "listen", "must be HOST:PORT")
    return daemon


def _configuration(parser: configparser.ConfigParser, source: str) -> Configuration:
    entities = []
    for section in parser.sections():
        kind, colon, name = section.partition(":")
        if not colon:
            continue
        try:
            entity = build_entity(kind, name.strip(), dict(parser[section]))
        except InvalidFieldError as error:
            raise SettingsError(source, section, error.key, error.reason) from error
        entities.append((kind, entity))
    configuration = Configuration.from_entities(entities)
    try:
        configuration.check()
    except InvalidReferenceError as error:
        raise SettingsError(source, error.section, error.key, error.reason) from error
    return configuration
