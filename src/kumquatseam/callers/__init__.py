"""The HTTP interface for callers: OpenAI-compatible completions.

:class:`CallerInterface` serves ``POST /v1/completions`` and
``POST /v1/chat/completions``, streamed as server-sent events or in one body,
and calls to plain services.
"""

from kumquatseam.callers._calls import (
    IDEMPOTENCY_HEADER,
    PRIORITY_HEADER,
    CompletionCall,
    read_call,
)
from kumquatseam.callers._interface import CallerInterface

__all__ = [
    "IDEMPOTENCY_HEADER",
    "PRIORITY_HEADER",
    "CallerInterface",
    "CompletionCall",
    "read_call",
]
