"""Serving one request from admission to its last token.

- :class:`CompletionServer` serves completions on model engines.
- :class:`ServiceServer` serves calls on plain services.
- :class:`RefusalLog` remembers refusals for operators' queries.
"""

from kumquatseam.serving._completions import (
    AnswerOutcome,
    Completion,
    CompletionAnswer,
    CompletionServer,
)
from kumquatseam.serving._parts import ServingParts
from kumquatseam.serving._refusals import Refusal, RefusalLog, may_have_run
from kumquatseam.serving._running import RunningRequest, RunningRequests
from kumquatseam.serving._services import ServiceServer

__all__ = [
    "AnswerOutcome",
    "Completion",
    "CompletionAnswer",
    "CompletionServer",
    "Refusal",
    "RefusalLog",
    "RunningRequest",
    "RunningRequests",
    "ServiceServer",
    "ServingParts",
    "may_have_run",
]
