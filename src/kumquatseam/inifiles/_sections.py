"""Reading the sections of an INI document into ``attrs`` classes."""

import configparser

from kumquatseam.errors import SettingsError
from kumquatseam.inifiles._fields import InvalidFieldError, parse_fields


def parse_ini(text: str, source: str) -> configparser.ConfigParser:
    """Parse an INI document.

    :param source: its origin, used in error messages.
    :raises SettingsError: if it is not valid INI.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=source)
    except configparser.Error as error:
        raise SettingsError(source, "", "", f"not valid INI: {error}") from error
    return parser


def read_section(parser: configparser.ConfigParser, source: str, name: str, cls: type):
    """Return section ``name`` as an instance of ``cls``; defaults if absent.

    :raises SettingsError: for the first unknown, missing or malformed key.
    """
    raw = dict(parser[name]) if parser.has_section(name) else {}
    try:
        return cls(**parse_fields(cls, raw))
    except InvalidFieldError as error:
        raise SettingsError(source, name, error.key, error.reason) from error
