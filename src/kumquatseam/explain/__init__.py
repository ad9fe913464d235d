"""From a request's id to its cause, out of structured log lines.

:func:`read_lines` takes lines of several processes in, :func:`tell_story` picks
those of one request and says in plain words what decided its end.
"""

from kumquatseam.explain._lines import LogLine, read_lines
from kumquatseam.explain._story import Story, tell_story

__all__ = ["LogLine", "Story", "read_lines", "tell_story"]
