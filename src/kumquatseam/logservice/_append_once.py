"""Exactly-once conditional append over a log whose answers can be lost."""

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

ATTEMPTS = 6
PAUSE_S = 0.2


def append_once(
    log: LogService,
    topic: str,
    payloads: Sequence[bytes],
    at: int,
    attempts: int = ATTEMPTS,
) -> int:
    """Append ``payloads`` at offset ``at`` exactly once, all or none.

    The first payload must be unique (carry its own id). When an answer is
    lost the topic is read back: our own bytes at ``at`` mean it took effect;
    other bytes mean somebody else won the offset; nothing there means it may
    yet take effect, and appending again under the same condition is then
    safe, since only one append can ever land at ``at``.

    :returns: the offset of the first payload; see :meth:`LogService.append`.
    :raises LogConflictError: if another record holds offset ``at``; ours are
        not in the log and never will be.
    :raises LogUnavailableError: if nothing was done in every attempt.
    :raises LogAnswerLostError: if the outcome is still unknown.
    """
    uncertain = False
    last: LogServiceError | None = None
    for attempt in range(attempts):
        if attempt:
            log.pause(PAUSE_S * attempt)
        try:
            return log.append(topic, payloads, at=at)
        except LogConflictError as conflict:
            if not uncertain:
                raise
            outcome = _read_back(log, topic, payloads[0], at)
            if outcome is True:
                return at
            if outcome is False:
                raise
            last = conflict
        except LogAnswerLostError as error:
            uncertain = True
            last = error
        except LogUnavailableError as error:
            last = error
    if uncertain:
        raise LogAnswerLostError(f"unresolved after {attempts} attempts") from last
    raise last


def _read_back(log: LogService, topic: str, payload: bytes, at: int) -> bool | None:
    """Return whether our record holds offset ``at``; ``None`` if unknown."""
    try:
        found = log.read(topic, at).records
    except LogRecordsExpiredError:
        return _is_newest(log, topic, payload)
    except LogServiceError:
        return None
    return found[0].payload == payload if found else None


def _is_newest(log: LogService, topic: str, payload: bytes) -> bool | None:
    """Return whether our record is its key's newest; ``None`` if unknown."""
    if not topic.startswith(KEYED_PREFIX):
        return None
    try:
        records = log.newest(topic).records
    except LogServiceError:
        return None
    key, value = unframe_keyed(payload)
    is_ours = any(r.key == key and r.value == value for r in records)
    return True if is_ours else None
