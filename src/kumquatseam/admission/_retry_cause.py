"""Why a request is sent to an upstream once more."""

import enum


class RetryCause(enum.Enum):
    """Why a request is sent to an upstream once more."""

    REFUSED = "refused"
    FAILED = "failed"
    GRACE_EXPIRED = "grace_expired"
    MOVED = "moved"
