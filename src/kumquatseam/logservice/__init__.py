"""Client of the platform's append-only log service.

- :class:`LogService` is the interface: append, read, newest record per key.
- :class:`HttpLogService` implements it over the platform's HTTP protocol.
- :func:`kumquatseam.logservice.appending.append_once` makes a conditional append
  exactly-once even if the response to it is lost. It is not exported here, since few
  instances need it.
"""

from kumquatseam.logservice._errors import (
    LogAnswerLostError,
    LogConflictError,
    LogRecordsExpiredError,
    LogServiceError,
    LogUnavailableError,
)
from kumquatseam.logservice._framing import (
    frame_keyed,
    frame_records,
    unframe_keyed,
    unframe_records,
)
from kumquatseam.logservice._http import HttpLogService
from kumquatseam.logservice._keyed_listener import ChangeContext, KeyedListener
from kumquatseam.logservice._keyed_reader import (
    KeyedBatch,
    KeyedChange,
    KeyedReader,
)
from kumquatseam.logservice._positions import check_era, era_of, offset_of, position
from kumquatseam.logservice._service import (
    KEYED_PREFIX,
    KeyedPage,
    KeyedRecord,
    LogRecord,
    LogService,
    LogSlice,
)

__all__ = [
    "KEYED_PREFIX",
    "ChangeContext",
    "HttpLogService",
    "KeyedBatch",
    "KeyedChange",
    "KeyedListener",
    "KeyedPage",
    "KeyedReader",
    "KeyedRecord",
    "LogAnswerLostError",
    "LogConflictError",
    "LogRecord",
    "LogRecordsExpiredError",
    "LogService",
    "LogServiceError",
    "LogSlice",
    "LogUnavailableError",
    "check_era",
    "era_of",
    "frame_keyed",
    "frame_records",
    "offset_of",
    "position",
    "unframe_keyed",
    "unframe_records",
]
