"""Parsing structured log lines."""

import json
from collections.abc import Iterable, Iterator

import attrs


@attrs.frozen
class LogLine:
    """One structured log line.

    :param time_s: wall-clock time of writing, in seconds.
    :param process: name of the process that wrote it.
    :param part: component of the process.
    :param event: text of the line.
    :param fields: the other fields, by name.
    """

    time_s: float
    process: str
    part: str
    event: str
    fields: dict[str, object]

    def text(self) -> str:
        """Return the line in readable form."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time_s:.3f} {self.process} {self.part}: {self.event} {fields}"


_STANDARD_FIELDS = frozenset(("t", "mono", "level", "process", "part", "event"))


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines among ``texts``.

    Text before the first brace (a log collector's prefix) and lines that are not
    structured are skipped.
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
                {name: raw[name] for name in raw if name not in _STANDARD_FIELDS},
            )
        except (ValueError, KeyError, TypeError):
            continue
