"""The requests and responses on a tunnel."""

import time
from collections.abc import Callable

import httptools

from kumquatseam.http1 import (
    Headers,
    ResponseHead,
    ResponseParser,
    is_joined_head,
)
from kumquatseam.relays._carried import CarriedTimes
from kumquatseam.relays._head import HeadError
from kumquatseam.relays._traffic import TunnelTraffic
from kumquatseam.response_heads import MAX_HEAD_BYTES, InvalidHeadError, is_interim

#: longest head of a request that is held back until it is complete.
MAX_HELD_BYTES = 131_072


class RequestClosedError(Exception):
    """A request was not sent, since its upstream wants none.

    :param for_s: for how long; 0 if another instance may carry it at once.
    """

    def __init__(self, for_s: float) -> None:
        super().__init__()
        self.for_s = for_s


class TunnelInspector:
    """Follows the requests and responses on one tunnel.

    :param traffic: decides on the requests.
    :param times: how long carried requests take.
    """

    def __init__(self, traffic: TunnelTraffic, times: CarriedTimes) -> None:
        self._traffic = traffic
        self._times = times
        self._requests = httptools.HttpRequestParser(self)
        self._held = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._has_new_head = False
        self._is_stopped = False
        self._is_in_head = False
        self._is_readable = True
        self._responses = _ResponseReader(self._handle_head, self._handle_end)
        #: the request under way, and when it was sent.
        self._request: Headers | None = None
        self._sent_s = 0.0
        #: whether the response that is read is the answer to it.
        self._is_answer = False

    def stop(self) -> None:
        """Let no further request pass: the instance that carries them stops."""
        self._is_stopped = True

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return self._request is None and self._is_readable and not self._held

    def feed_request(self, data: bytes) -> bytes:
        """Add bytes of the instance that asked for the tunnel.

        :returns: what is to be sent to the upstream: a head only once it is complete.
        :raises RequestClosedError: if they begin a request that must not be sent.
        :raises HeadError: if the head of a request is too long, or it must not be sent
            while another one is under way.
        """
        self._held += data
        if self._is_readable:
            try:
                self._requests.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                # No upstream runs it; whoever sent it gets the upstream's response.
                self._is_readable = self._is_in_head = False
        if self._is_in_head:
            if len(self._held) > MAX_HELD_BYTES:
                raise HeadError("relay: head of a request is too long")
            return b""
        if self._has_new_head:
            self._has_new_head = False
            self._begin_request(Headers(self._fields))
        sent, self._held = self._held, b""
        return sent

    def feed_response(self, data: bytes) -> None:
        """Add bytes of the upstream."""
        self._responses.feed(data)

    def end_responses(self) -> None:
        """Handle that the upstream closed, which ends a response without framing.

        The tunnel does not become idle: the end has still to be passed on.
        """
        if self._is_answer:
            self._times.record(self._sent_s)

    def _begin_request(self, headers: Headers) -> None:
        closed_for_s = self._traffic.closed_for_s(headers)
        if closed_for_s or self._is_stopped or not self._times.ends_in_time:
            if self._request is not None:
                # A refusal would be taken for the answer to that one.
                raise HeadError("relay: request before the answer to the last one")
            raise RequestClosedError(closed_for_s)
        self._traffic.note_sent(headers)
        self._request, self._sent_s = headers, time.monotonic()
        # What began before is the answer to an earlier request.
        self._is_answer = False

    def _handle_head(self, head: ResponseHead) -> None:
        request = self._request
        if request is not None and self._traffic.is_answer(request, head):
            self._is_answer = True
            self._traffic.note_response(request, head, self._sent_s)

    def _handle_end(self) -> None:
        if self._is_answer:
            self._is_answer = False
            self._request = None
            self._times.record(self._sent_s)

    # Callbacks of the parser; it defines their names.

    def on_message_begin(self) -> None:
        self._fields = []
        self._is_in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser reports trailers too.
        if self._is_in_head:
            self._fields.append((name, value or b""))

    def on_headers_complete(self) -> None:
        self._is_in_head = False
        self._has_new_head = True


class _ResponseReader:
    """Reads the heads of an upstream's responses, and notices their ends.

    :param on_head: called with each head, except those of interim responses.
    :param on_end: called at the end of each of these responses.
    """

    def __init__(
        self, on_head: Callable[[ResponseHead], None], on_end: Callable[[], None]
    ) -> None:
        self._on_head = on_head
        self._on_end = on_end
        self._parser = ResponseParser(self)
        self._reason = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._is_in_head = False
        self._is_readable = True

    def feed(self, data: bytes) -> None:
        if not self._is_readable:
            return
        try:
            self._parser.feed(data)
        except InvalidHeadError:
            # Whoever sent the request decides what to make of it.
            self._is_readable = False
        self._head_bytes += len(data)
        if self._is_in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._is_readable = False
            self._fields = []

    def on_message_begin(self) -> None:
        self._reason = b""
        self._fields = []
        self._head_bytes = 0
        self._is_in_head = True

    def on_status(self, status: bytes) -> None:
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser reports trailers too.
        if self._is_in_head:
            self._fields.append((name, value or b""))

    def on_headers_complete(self) -> None:
        self._is_in_head = False
        status = self._parser.status
        headers = Headers(self._fields)
        if is_joined_head(self._reason, headers):
            self._is_readable = False
        elif not is_interim(status):
            self._on_head(ResponseHead(status, headers, None, False))

    def on_message_complete(self) -> None:
        if self._is_readable and not is_interim(self._parser.status):
            self._on_end()
