"""Outcomes of single attempts at a request, and the totals of all attempts."""

from typing import TYPE_CHECKING

import attrs

from kumquatseam.gateway._cuts import CutBy
from kumquatseam.http1 import ResponseHead

if TYPE_CHECKING:
    from kumquatseam.gateway._stopped_run import StoppedRun


@attrs.define
class Progress:
    """Totals of the attempts at one request.

    :param attempts: how often it was sent to an upstream.
    :param refusals: attempts that an upstream declared as not run.
    :param connect_failures: failed connections to upstreams.
    :param may_have_run: whether any upstream may have run it.
    :param has_sent: whether any byte of it may have reached an upstream.
    :param failed_by: who ended the last attempt that failed.
    :param excluded: incarnations of upstreams that failed or refused it.
    :param buffered_failure: an upstream's error response, sent to the caller if no
        other attempt succeeds.
    """

    attempts: int = 0
    refusals: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    has_sent: bool = False
    failed_by: CutBy = CutBy.UPSTREAM
    excluded: set[str] = attrs.Factory(set)
    buffered_failure: "BufferedResponse | None" = None


@attrs.frozen
class BufferedResponse:
    """A completely received response of an upstream.

    :param upstream: the incarnation that sent it.
    :param head: its status line and headers.
    :param body: its complete body.
    """

    upstream: str
    head: ResponseHead
    body: bytes | bytearray


class NotRunError(Exception):
    """The upstream guarantees that it did not run the request.

    :param is_misdirected: whether another upstream, or one on other weights, said so.
    """

    def __init__(self, is_misdirected: bool = False) -> None:
        super().__init__("refused")
        self.is_misdirected = is_misdirected


class GraceExpiredError(Exception):
    """The request waited too long on replaced weights.

    It may have started at the last moment.
    """


class RunMovedError(Exception):
    """A move stopped the run, which goes on elsewhere.

    :param run: the run.
    """

    def __init__(self, run: "StoppedRun") -> None:
        super().__init__()
        self.run = run


class UpstreamClosedError(Exception):
    """The chosen upstream takes no requests any more; nothing was sent."""


class RetryableFailureError(Exception):
    """The upstream responded with an error, and the request may be retried.

    :param response: the error response.
    """

    def __init__(self, response: BufferedResponse) -> None:
        super().__init__()
        self.response = response


class BufferedFailureError(Exception):
    """No attempt succeeded; the caller gets an upstream's error response.

    :param response: the error response.
    """

    def __init__(self, response: BufferedResponse) -> None:
        super().__init__()
        self.response = response
