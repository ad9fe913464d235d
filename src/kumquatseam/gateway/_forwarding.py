"""Pass an upstream's response on to the caller."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

from kumquatseam.buffers import BufferLimitError
from kumquatseam.gateway._begun_response import BegunResponse
from kumquatseam.gateway._caller import CallerConnection, CallerTooSlowError
from kumquatseam.gateway._caller_response import CallerResponse
from kumquatseam.gateway._continuation import Continuation
from kumquatseam.gateway._event_times import EventTimes
from kumquatseam.gateway._events import EventSplitter
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._outcomes import BufferedResponse, RetryableFailureError
from kumquatseam.gateway._response_buffer import ResponseBuffer
from kumquatseam.gateway._run_guard import RunGuard
from kumquatseam.gateway._upstream_response import UpstreamResponse

if TYPE_CHECKING:
    from kumquatseam.gateway._stream_forwarding import StreamForwarder

#: responses up to this size are buffered, so that the request can be retried or
#: failed cleanly if the upstream's response is interrupted.
MAX_BUFFERED_BYTES = 262_144
#: the body of a refusal is read up to this size, so that its connection can be reused.
MAX_DRAINED_BYTES = 65_536


class ResponseForwarder:
    """Sends the responses to one request to its caller.

    A stream may consist of the responses of several upstreams.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param caller: connection to the caller.
    :param may_keep_alive: whether the caller's connection stays open afterwards.
    :param events: the events sent so far.
    :param times: when they arrived.
    :param continuation: follows the stream over the upstreams that write it.
    :param guard: records that the upstream outlived the beginning of its response.
    """

    def __init__(
        self,
        parts,
        job: Job,
        caller: CallerConnection,
        may_keep_alive: Callable[[], bool],
        events: EventSplitter,
        times: EventTimes,
        continuation: Continuation,
        guard: RunGuard,
    ) -> None:
        self._parts = parts
        self._job = job
        self._account = caller.account
        self._buffer = ResponseBuffer(caller.account)
        self._caller_response = CallerResponse(caller, may_keep_alive)
        self._events = events
        self._times = times
        self._continuation = continuation
        self._guard = guard

    @functools.cached_property
    def _stream(self) -> "StreamForwarder":
        """What forwards events; loaded with the first stream."""
        from kumquatseam.gateway._stream_forwarding import StreamForwarder

        return StreamForwarder(
            self._parts,
            self._job,
            self._caller_response,
            self._events,
            self._times,
            self._continuation,
            self._guard,
        )

    @property
    def begun(self) -> BegunResponse | None:
        """The response that the caller has received a part of, if any."""
        return self._caller_response.begun

    def may_hold_head(self, size_bytes: int) -> bool:
        """Hold a part of a response's head, if there is room; return whether there is.

        It is given back with the response, or when the request ends.
        """
        return self._buffer.may_hold(size_bytes)

    def drain(self, response: UpstreamResponse) -> None:
        """Read the body of a refusal so that the connection can be reused.

        :raises ResponseInterruptedError: if it is not complete.
        """
        if response.head.is_ended_by_close:
            return
        left_bytes = MAX_DRAINED_BYTES
        while data := response.connection.read_body(response.wait):
            left_bytes -= len(data)
            if left_bytes < 0:
                # A new connection costs less than the rest.
                return
        response.release(self._parts.pool)

    def forward(self, response: UpstreamResponse, may_retry: bool) -> bool:
        """Send a response; return whether the caller's connection stays open.

        :param may_retry: whether the request may be sent to another upstream.
        :raises ResponseInterruptedError: if it ends before it is complete, or cannot
            be the rest of a stream that was begun.
        :raises RetryableFailureError: if it is an error, and may be retried.
        :raises RunMovedError: if its run was moved to another engine.
        :raises CallerDisconnectedError: if the caller left, or receives too slowly.
        """
        self._caller_response.check_continues(response)
        try:
            if self._job.route.is_stream and response.head.status == 200:
                self._stream.forward(response, self._buffer)
            else:
                self._forward_body(response, may_retry)
            return self._caller_response.keeps_connection
        except RetryableFailureError:
            # It is kept until the request ends, which gives back what it takes.
            self._buffer = ResponseBuffer(self._account)
            raise
        except BufferLimitError as error:
            raise CallerTooSlowError from error
        finally:
            self._buffer.hold(0)

    def send_buffered(self, response: BufferedResponse) -> bool:
        """Send a complete response; return whether the connection stays open."""
        self._caller_response.send_buffered(response)
        return self._caller_response.keeps_connection

    def _forward_body(self, response: UpstreamResponse, may_retry: bool) -> None:
        body = bytearray()
        while data := response.connection.read_body(response.wait):
            body += data
            is_large = len(body) > MAX_BUFFERED_BYTES
            if is_large or not self._buffer.may_hold(len(body)):
                self._forward_large(response, body)
                return
            # Not kept while more is awaited.
            del data
        response.release(self._parts.pool)
        buffered = BufferedResponse(response.incarnation_id, response.head, body)
        if response.head.status >= 500 and may_retry:
            raise RetryableFailureError(buffered)
        self._caller_response.send_buffered(buffered)

    def _forward_large(self, response: UpstreamResponse, first: bytearray) -> None:
        self._caller_response.start_body(response, first)
        response.allow_silence(self._job)
        # It is kept by the caller of this method too.
        first.clear()
        self._buffer.hold(0)
        while data := response.connection.read_body(response.wait):
            self._caller_response.send_body(data)
            del data
        self._caller_response.finish()
        response.release(self._parts.pool)
