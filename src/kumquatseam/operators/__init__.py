"""The operators' query and command language.

- :func:`parse` parses a text; :class:`LanguageError` has the column of the error.
- :class:`QueryAnswerer` answers queries inside a router.
- :class:`FleetConsole` sends queries to every router and appends commands to the
  log.
"""

from kumquatseam.operators._answers import QueryAnswerer, QuerySources
from kumquatseam.operators._commands import to_changes
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
    "AppliedCommands",
    "CommandConflictError",
    "Commands",
    "Condition",
    "ConsoleAnswer",
    "FleetConsole",
    "LanguageError",
    "Query",
    "QueryAnswerer",
    "QuerySources",
    "parse",
    "to_changes",
]
