"""Structured logging through loguru, with a fixed prefix for each part.

Each part of the system takes its own logger from :func:`part_logger`; every
line it writes starts with that part's name, e.g. ``route: team=... engine=...``.
Call :func:`configure_logging` once in a program's ``main``.
"""

import sys

from loguru import logger

LINE_FORMAT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[process]} "
    "{extra[part]}: {message}"
)


def configure_logging(process_name: str, level: str = "INFO") -> None:
    """Send log lines to standard error in the project's line format.

    :param process_name: a name for this process, shown on every line, e.g.
        ``"kumquatseamd"`` or ``"engine:nyelvmodell-flotta-0"``.
    :param level: the lowest loguru level written, e.g. ``"INFO"``.
    """
    logger.remove()
    logger.configure(extra={"part": "main", "process": process_name})
    logger.add(sys.stderr, format=LINE_FORMAT, level=level, enqueue=False)


def part_logger(part: str):
    """Return a logger whose lines carry the fixed prefix ``part``.

    :param part: the part's name, e.g. ``"route"``, ``"callers"``.
    :returns: a bound loguru logger.
    """
    return logger.bind(part=part)
