"""Explain the outcome of a request from the structured logs.

:func:`read_lines` parses the log lines of any number of processes.
:func:`explain_request` selects the lines of one request and states why it ended as
it did.
"""

from kumquatseam.explain._explanation import RequestExplanation, explain_request
from kumquatseam.explain._lines import LogLine, read_lines

__all__ = ["LogLine", "RequestExplanation", "explain_request", "read_lines"]
