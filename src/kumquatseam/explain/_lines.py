"""Structured log lines, read back."""

import json
from collections.abc import Iterable, Iterator

import attrs


@attrs.frozen
class LogLine:
    """One line that a process wrote.

    :param time_s: time of day it was written, in seconds.
    :param process: who wrote it.
    :param part: the part of the process.
    :param event: what happened.
    :param fields: its other fields, by name.
    """

    time_s: float
    process: str
    part: str
    event: str
    fields: dict[str, object]

    def text(self) -> str:
        """Return the line for a reader."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time_s:.3f} {self.process} {self.part}: {self.event} {fields}"


_OWN_FIELDS = frozenset(("t", "mono", "level", "process", "part", "event"))


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines among ``texts``.

    What stands before the first brace (a collector's prefix) and lines that
    are not structured are passed over.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            raw = json.loads(text[start:])
            yield LogLine(
                float(raw["t"]),
                str(raw["process"]),
                str(raw["part"]),
                str(raw["event"]),
                {name: raw[name] for name in raw if name not in _OWN_FIELDS},
            )
        except (ValueError, KeyError, TypeError):
            continue
