"""Structured logging with loguru, with a fixed prefix per component.

Each component gets its logger from :func:`part_logger`; its lines start with the
component's name, e.g. ``route: team=... engine=...``.
Call :func:`configure_logging` (text) or :func:`configure_json_logging` (one
JSON object per line) once in a program's ``main``.

The level decides what may be dropped under load: ``DEBUG`` lines describe single
successful requests and are limited per component and second. Lines of ``INFO`` and
above (state changes, errors, refusals) are not rate limited.
"""

import collections
import json
import os
import sys
import time

import gevent
import gevent.event
from loguru import logger

LINE_FORMAT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[process]} "
    "{extra[part]}: {message}"
)
#: maximum number of DEBUG lines per component and second: four times the peak rate
#: of an instance, at two lines per request.
DEBUG_LINES_PER_S = 200
#: maximum number of bytes buffered while the reader is slow; further lines are
#: dropped and counted.
MAX_PENDING_BYTES = 1_048_576
#: interval between two writes; lines are batched to save system calls.
FLUSH_INTERVAL_S = 0.05
#: how long the end of a process waits for a slow reader; half of what its grace
#: leaves for its end.
CLOSE_WAIT_S = 0.2


def configure_logging(process_name: str, level: str = "INFO") -> None:
    """Write log lines to standard error in the project's line format.

    :param process_name: the name of this process, shown on every line, e.g.
        ``"kumquatseamd"`` or ``"engine:nyelvmodell-flotta-0"``.
    :param level: the lowest loguru level that is written, e.g. ``"INFO"``.
    """
    logger.remove()
    logger.configure(extra={"part": "main", "process": process_name})
    logger.add(sys.stderr, format=_text_format, level=level, enqueue=False)


def _text_format(record) -> str:
    """Return the line format of a record, with bound fields after the message."""
    names = [name for name in record["extra"] if name not in ("part", "process")]
    fields = "".join(f" {name}={{extra[{name}]}}" for name in names)
    return f"{LINE_FORMAT}{fields}\n{{exception}}"


def configure_json_logging(process_name: str, level: str = "DEBUG") -> "LineWriter":
    """Write one JSON object per line to standard output, without blocking.

    :returns: the started writer; close it after all other components.
    """
    writer = LineWriter(sys.stdout.fileno(), process_name)
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(writer.write, format="{message}", level=level, enqueue=False)
    writer.start()
    return writer


def part_logger(part: str):
    """Return a logger whose lines carry the fixed prefix ``part``.

    :param part: the component's name, e.g. ``"route"``, ``"callers"``.
    :returns: a bound loguru logger.
    """
    return logger.bind(part=part)


class LineWriter:
    """Writes log records as JSON lines to a descriptor whose reader may be slow.

    :param descriptor: the output descriptor; it is set to non-blocking.
    :param process_name: the name of this process, written on every line.
    """

    def __init__(self, descriptor: int, process_name: str) -> None:
        self._descriptor = descriptor
        self._process_name = process_name
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._second = 0
        self._lines_in_second: collections.Counter[str] = collections.Counter()
        self._greenlet: gevent.Greenlet | None = None
        self._has_lines = gevent.event.Event()
        self.left_out = 0

    def start(self) -> None:
        """Start writing in the background."""
        os.set_blocking(self._descriptor, False)
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop; a slow reader gets ``CLOSE_WAIT_S``."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        end_s = time.monotonic() + CLOSE_WAIT_S
        self._flush()
        while self._pending and time.monotonic() < end_s:
            gevent.sleep(0.01)
            self._flush()

    def write(self, message) -> None:
        """Buffer one loguru message."""
        record = message.record
        extra = record["extra"]
        part = extra["part"]
        if record["level"].name == "DEBUG" and not self._has_budget(part):
            self.left_out += 1
            return
        line = {
            "t": round(time.time(), 4),
            "mono": round(time.monotonic(), 4),
            "level": record["level"].name,
            "process": self._process_name,
            "part": part,
            "event": record["message"],
        }
        line.update((key, value) for key, value in extra.items() if key != "part")
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
            line["trace"] = str(message)[-2000:]
        if self.left_out:
            line["left_out"] = self.left_out
        data = json.dumps(line, default=str).encode() + b"\n"
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.left_out += 1
            return
        self._pending.append(data)
        self._pending_bytes += len(data)
        self._has_lines.set()

    def _has_budget(self, part: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_in_second.clear()
        self._lines_in_second[part] += 1
        return self._lines_in_second[part] <= DEBUG_LINES_PER_S

    def _run(self) -> None:
        while True:
            # Avoids 20 wake-ups per second in an idle process.
            self._has_lines.wait()
            gevent.sleep(FLUSH_INTERVAL_S)
            self._has_lines.clear()
            self._flush()

    def _flush(self) -> None:
        if not self._pending:
            return
        data = b"".join(self._pending)
        self._pending.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, and there is no other place to report it.
            self._pending_bytes = 0
            return
        if written < len(data):
            self._pending.append(data[written:])
            self._has_lines.set()
        self._pending_bytes = len(data) - written
