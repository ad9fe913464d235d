"""Capturing the log lines of code that runs in this process."""

import contextlib

from loguru import logger


@contextlib.contextmanager
def captured_lines():
    """Yield a list to which each log record is appended while the block runs."""
    lines = []
    sink = logger.add(lambda message: lines.append(message.record), level="DEBUG")
    try:
        yield lines
    finally:
        logger.remove(sink)
