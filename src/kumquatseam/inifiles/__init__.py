"""INI documents as ``attrs`` classes, for every program's settings.

:func:`parse_ini` reads a document, :func:`read_section` one of its sections;
:func:`setting` declares a field, and :func:`parse_fields` converts text values.
"""

from kumquatseam.inifiles._fields import (
    InvalidFieldError,
    field_keys,
    format_fields,
    parse_fields,
    setting,
)
from kumquatseam.inifiles._sections import parse_ini, read_section

__all__ = [
    "InvalidFieldError",
    "field_keys",
    "format_fields",
    "parse_fields",
    "parse_ini",
    "read_section",
    "setting",
]
