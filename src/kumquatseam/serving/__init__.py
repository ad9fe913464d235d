"""Serving of single requests, from admission to the last token.

- :class:`CompletionServer` serves completions on engines.
- :class:`ServiceServer` serves calls on plain services.
- :class:`RefusalLog` keeps recent refusals for operators' queries.
"""

from kumquatseam.serving._completions import (
    Completion,
    CompletionOutcome,
    CompletionResponse,
    CompletionServer,
)
from kumquatseam.serving._parts import ServingParts
from kumquatseam.serving._refusals import Refusal, RefusalLog, may_have_run
from kumquatseam.serving._running import RunningRequest, RunningRequests
from kumquatseam.serving._services import ServiceServer

__all__ = [
    "CompletionOutcome",
    "Completion",
    "CompletionResponse",
    "CompletionServer",
    "Refusal",
    "RefusalLog",
    "RunningRequest",
    "RunningRequests",
    "ServiceServer",
    "ServingParts",
    "may_have_run",
]
