"""The operators' query and command language, and asking the fleet in it.

- :func:`parse` reads a text; :class:`LanguageError` points at its fault.
- :class:`QueryAnswerer` answers queries inside a router.
- :class:`FleetConsole` asks every router and appends commands to the log.
"""

from kumquatseam.operators._answers import QueryAnswerer, QuerySources
from kumquatseam.operators._commands import changes_of
from kumquatseam.operators._console import (
    AppliedCommands,
    CommandConflictError,
    ConsoleAnswer,
    FleetConsole,
)
from kumquatseam.operators._parsing import LanguageError, parse
from kumquatseam.operators._statements import Commands, Condition, Query
from kumquatseam.operators._subjects import SUBJECT_COLUMNS

__all__ = [
    "SUBJECT_COLUMNS",
    "QuerySources",
    "AppliedCommands",
    "CommandConflictError",
    "Commands",
    "Condition",
    "ConsoleAnswer",
    "FleetConsole",
    "LanguageError",
    "Query",
    "QueryAnswerer",
    "changes_of",
    "parse",
]
