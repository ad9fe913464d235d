"""A stand-in of the platform's append-only log service.

- :class:`LogStore` keeps the topics, limits appends and expires records.
- :class:`StandinLogService` serves a store over the published HTTP protocol.
- :class:`InMemoryLogService` gives tests the same store and faults without
  a network.
"""

from kumquatseam.standins.logservice._faults import LogFaults
from kumquatseam.standins.logservice._memory import InMemoryLogService
from kumquatseam.standins.logservice._server import StandinLogService
from kumquatseam.standins.logservice._store import LogStore, LogStoreLimits

__all__ = [
    "InMemoryLogService",
    "LogFaults",
    "LogStore",
    "LogStoreLimits",
    "StandinLogService",
]
