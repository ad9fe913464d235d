"""Exactly-once conditional append to a log whose responses can be lost."""

from collections.abc import Sequence

from kumquatseam.logservice._errors import (
    LogAnswerLostError,
    LogConflictError,
    LogRecordsExpiredError,
    LogServiceError,
    LogUnavailableError,
)
from kumquatseam.logservice._framing import unframe_keyed
from kumquatseam.logservice._service import KEYED_PREFIX, LogService

MAX_ATTEMPTS = 6
BACKOFF_STEP_S = 0.2


def append_once(
    log: LogService,
    topic: str,
    payloads: Sequence[bytes],
    at: int,
    attempts: int = MAX_ATTEMPTS,
) -> int:
    """Append ``payloads`` at offset ``at`` exactly once, all or none.

    The first payload must be unique (for example contain an id). After a lost
    response the append is retried under the same condition, which is safe since
    only one append can succeed at ``at``. If the retry conflicts, the topic is read
    back: our own payload at ``at`` means that the earlier append took effect, a
    different one that another writer appended there first; if it cannot be read,
    the append is retried.

    :returns: the offset of the first payload; see :meth:`LogService.append`.
    :raises LogConflictError: if another record is at offset ``at``; ours are
        not in the log and never will be.
    :raises LogUnavailableError: if no attempt had any effect.
    :raises LogAnswerLostError: if the outcome is still unknown.
    """
    if attempts < 1:
        raise ValueError(f"append to {topic!r}: at least one attempt is needed")
    may_be_appended = False
    last_error: LogServiceError | None = None
    for attempt in range(attempts):
        if attempt:
            log.pause(BACKOFF_STEP_S * attempt)
        try:
            return log.append(topic, payloads, at=at)
        except LogConflictError as conflict:
            if not may_be_appended:
                raise
            outcome = _read_back(log, topic, payloads[0], at)
            if outcome is True:
                return at
            if outcome is False:
                raise
            last_error = conflict
        except LogAnswerLostError as error:
            may_be_appended = True
            last_error = error
        except LogUnavailableError as error:
            last_error = error
    if may_be_appended:
        raise LogAnswerLostError(
            f"append unresolved after {attempts} attempts"
        ) from last_error
    raise last_error


def _read_back(log: LogService, topic: str, payload: bytes, at: int) -> bool | None:
    """Return whether our record is at offset ``at``; ``None`` if unknown."""
    try:
        found = log.read(topic, at).records
    except LogRecordsExpiredError:
        return _is_newest(log, topic, payload)
    except LogServiceError:
        return None
    return found[0].payload == payload if found else None


def _is_newest(log: LogService, topic: str, payload: bytes) -> bool | None:
    """Return ``True`` if our record is its key's newest, else ``None`` (unknown)."""
    if not topic.startswith(KEYED_PREFIX):
        return None
    try:
        records = log.newest(topic).records
    except LogServiceError:
        return None
    key, value = unframe_keyed(payload)
    is_ours = any(r.key == key and r.value == value for r in records)
    return True if is_ours else None
