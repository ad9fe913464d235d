"""Capturing the log lines that parts called in this process write."""

import contextlib

from loguru import logger


@contextlib.contextmanager
def captured_lines():
    """Yield a list that gets each line's record while the block runs."""
    lines = []
    sink = logger.add(lambda message: lines.append(message.record), level="DEBUG")
    try:
        yield lines
    finally:
        logger.remove(sink)
