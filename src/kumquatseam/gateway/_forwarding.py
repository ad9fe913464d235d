"""Pass an upstream's response on to the caller."""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from kumquatseam.buffers import BufferLimitError
from kumquatseam.gateway._begun_response import BegunResponse
from kumquatseam.gateway._call import ResponseTraits
from kumquatseam.gateway._caller import CallerConnection, CallerTooSlowError
from kumquatseam.gateway._continuation import Continuation
from kumquatseam.gateway._event_times import EventTimes
from kumquatseam.gateway._events import EventSplitter
from kumquatseam.gateway._first_event_wait import FirstEventWait
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._outcomes import (
    BufferedResponse,
    RetryableFailureError,
    RunMovedError,
)
from kumquatseam.gateway._response_buffer import ResponseBuffer
from kumquatseam.gateway._run_guard import RunGuard
from kumquatseam.http1 import (
    ConnectionPool,
    ResponseHead,
    ResponseInterruptedError,
    UpstreamConnection,
)
from kumquatseam.logs import part_logger
from kumquatseam.placement import Placement, SentRequest
from kumquatseam.upstreams import InFlightRequest

if TYPE_CHECKING:
    from kumquatseam.gateway._relocation import Relocation

_log = part_logger("exchange")

#: responses up to this size are buffered, so that the request can be retried or
#: failed cleanly if the upstream's response is interrupted.
MAX_BUFFERED_BYTES = 262_144
#: the body of a refusal is read up to this size, so that its connection can be reused.
MAX_DRAINED_BYTES = 65_536
#: maximum size of an event; longer ones take memory and are no events.
MAX_EVENT_BYTES = 262_144
#: idle timeout of a stream that can be resumed on another engine. Engines may be silent
#: for a second and go on; clients time out after 2 s.
STREAM_IDLE_TIMEOUT_S = 1.6


@attrs.define
class UpstreamResponse:
    """A response whose head was received.

    :param placement: the upstream that responds.
    :param connection: the connection it is read from.
    :param head: its status line and headers.
    :param traits: data of its head.
    :param wait: waits for its body.
    :param in_flight_request: the request as counted on the upstream.
    :param sent_request: its record for the estimate of the engine's slowdown, if any.
    """

    placement: Placement
    connection: UpstreamConnection
    head: ResponseHead
    traits: ResponseTraits
    wait: FirstEventWait
    in_flight_request: InFlightRequest
    sent_request: SentRequest | None
    is_released: bool = False

    @property
    def incarnation_id(self) -> str:
        """The incarnation that responds."""
        return self.placement.status.upstream.incarnation_id

    def release(self, pool: ConnectionPool) -> None:
        """Return the connection of a response that was read to its end."""
        self.is_released = True
        pool.release(self.connection, self.traits.keep_alive_s)


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
        self._guard = guard
        self._continuation = continuation
        self._parts = parts
        self._job = job
        self._caller = caller
        self._may_keep = may_keep_alive
        self._events = events
        self._times = times
        self._buffer = ResponseBuffer(caller.account)
        #: the response that the caller has received a part of, if any.
        self.begun: BegunResponse | None = None

    def body_until_s(self) -> float:
        """Return until when the next bytes of a response must arrive."""
        until_s = self._job.end_s
        if self._job.route.is_resumable:
            until_s = min(until_s, time.monotonic() + STREAM_IDLE_TIMEOUT_S)
        return until_s

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
        :raises ResponseInterruptedError: if it ends before it is complete.
        :raises RetryableFailureError: if it is an error, and may be retried.
        :raises RunMovedError: if its run was moved to another engine.
        :raises CallerDisconnectedError: if the caller left, or receives too slowly.
        """
        try:
            if self._job.route.is_stream and response.head.status == 200:
                return self._forward_stream(response)
            return self._forward_body(response, may_retry)
        except RetryableFailureError:
            # It is kept until the request ends, which gives back what it takes.
            self._buffer = ResponseBuffer(self._caller.account)
            raise
        except BufferLimitError as error:
            raise CallerTooSlowError from error
        finally:
            self._buffer.hold(0)

    def send_buffered(self, response: BufferedResponse) -> bool:
        """Send a complete response; return whether the connection stays open."""
        keep = self._may_keep()
        fields = self._fields(response.head, keep)
        self.begun = BegunResponse(response.upstream, response.head)
        self._caller.send_response(response.head.status, fields, response.body)
        return keep

    def _forward_body(self, response: UpstreamResponse, may_retry: bool) -> bool:
        body = bytearray()
        while data := response.connection.read_body(response.wait):
            body += data
            is_large = len(body) > MAX_BUFFERED_BYTES
            if is_large or not self._buffer.may_hold(len(body)):
                return self._forward_large(response, body)
            # Not kept while more is awaited.
            del data
        response.release(self._parts.pool)
        buffered = BufferedResponse(response.incarnation_id, response.head, body)
        if response.head.status >= 500 and may_retry:
            raise RetryableFailureError(buffered)
        return self.send_buffered(buffered)

    def _forward_large(self, response: UpstreamResponse, first: bytearray) -> bool:
        head, keep = response.head, self._may_keep()
        self.begun = BegunResponse(response.incarnation_id, head)
        self._caller.start_response(
            head.status, self._fields(head, keep), head.length_bytes, first
        )
        # It is kept by the caller of this method too.
        first.clear()
        self._buffer.hold(0)
        while data := response.connection.read_body(response.wait):
            self._caller.send_body(data)
            del data
        self._caller.finish_response()
        response.release(self._parts.pool)
        return keep

    def _forward_stream(self, response: UpstreamResponse) -> bool:
        """Forward the stream event by event, so that it can be resumed elsewhere."""
        keep = self._may_keep()
        connection, wait = response.connection, response.wait
        relocation = None
        try:
            while data := connection.read_body(wait):
                wait.note_first_event()
                response.in_flight_request.note_heard()
                wait.until_s = self.body_until_s()
                self._check_software(response)
                self._send_events(response, keep, self._events.feed(data))
                self._check_events(response)
                if response.placement.status.move_runs_to and self._guard.may_move():
                    relocation = relocation or self._relocation(response)
                    relocation.start_if_due()
                del data
            self._raise_if_broken_off(response, relocation)
        except ResponseInterruptedError:
            self._log_end(response, is_whole=False)
            self._times.note_interrupted()
            stopped = relocation.take_stopped_run() if relocation is not None else None
            if stopped is None:
                raise
            self._events.drop_partial()
            raise RunMovedError(stopped) from None
        finally:
            if relocation is not None:
                relocation.close()
        self._log_end(response, is_whole=True)
        self._send_events(response, keep, self._events.flush())
        if not self._caller.has_started_response:
            self.begun = BegunResponse(response.incarnation_id, response.head)
            self._caller.start_response(200, self._fields(response.head, keep), None)
        self._caller.finish_response()
        if self._continuation.may_reuse(response.placement, response.connection):
            response.release(self._parts.pool)
        return keep

    def _relocation(self, response: UpstreamResponse) -> "Relocation":
        """Return what moves the run; loaded with the first one that has to move."""
        from kumquatseam.gateway._relocation import Relocation

        return Relocation(
            self._parts, self._job, response.placement, response.connection
        )

    def _raise_if_broken_off(
        self, response: UpstreamResponse, relocation: "Relocation | None"
    ) -> None:
        """Check a stream whose framing is complete.

        :raises ResponseInterruptedError: if the stream is not.
        """
        address = response.connection.address
        if self._events.is_inside_event:
            raise ResponseInterruptedError(address, "stream ended inside an event")
        if not response.head.is_ended_by_close:
            return
        # The end of the connection tells nothing else, so what may have ended the run
        # is asked.
        has_event = self._times.attempt_first_event_s is not None
        if not has_event and not self._events.last_id:
            raise ResponseInterruptedError(address, "stream ended without an event")
        if relocation is not None and relocation.may_have_stopped_run():
            raise ResponseInterruptedError(address, "stream ended by a move")

    def _check_software(self, response: UpstreamResponse) -> None:
        """Check the upstream's software version before its events are split.

        Ids of events that are split count as passed on.

        :raises ResponseInterruptedError: if it is not known to be the expected one.
        """
        if not self._continuation.may_pass_on(response.placement, response.connection):
            raise ResponseInterruptedError(
                response.connection.address,
                "upstream is not known to run the software that began the stream",
                is_upstream_fault=False,
            )

    def _check_events(self, response: UpstreamResponse) -> None:
        """Check what was received and not sent.

        :raises ResponseInterruptedError: if it is no event, or too large to be one.
        """
        self._buffer.hold(self._events.partial_bytes)
        if self._events.is_spoiled:
            raise ResponseInterruptedError(
                response.connection.address, "bytes that are no event"
            )
        if self._events.partial_bytes > MAX_EVENT_BYTES:
            raise ResponseInterruptedError(
                response.connection.address,
                f"over {MAX_EVENT_BYTES} bytes without the end of an event",
            )

    def _log_end(self, response: UpstreamResponse, is_whole: bool) -> None:
        """Log how a stream ended, and what it left of an event."""
        self._parts.metrics.record_stream_end(
            response.head.framing.value, bool(self._events.partial_bytes), is_whole
        )
        _log.bind(
            request=self._job.call.request_id,
            upstream=response.incarnation_id,
            framing=response.head.framing.value,
            partial_bytes=self._events.partial_bytes,
            is_whole=is_whole,
            is_relayed=response.connection.is_relayed,
        ).debug("Stream ended.")

    def _send_events(self, response: UpstreamResponse, keep: bool, data: bytes) -> None:
        if not data:
            return
        self._continuation.note_events(response.placement, response.connection)
        self._record_event(response)
        if self._caller.has_started_response:
            self._caller.send_body(data)
            return
        self.begun = BegunResponse(response.incarnation_id, response.head)
        fields = self._fields(response.head, keep)
        self._caller.start_response(response.head.status, fields, None, data)
        self._parts.metrics.record_first_event(
            self._job.route.name, time.monotonic() - self._job.request.received_s
        )

    def _record_event(self, response: UpstreamResponse) -> None:
        """Record the time of an event; log the pause if the stream was resumed."""
        times = self._times
        is_first = times.note_event()
        self._guard.note_event()
        if is_first:
            response.placement.note_first_event(times.last_event_s - times.sent_s)
            if response.sent_request is not None:
                response.sent_request.note_first_event()
        pause_s = times.end_pause_s()
        if pause_s is not None:
            _log.bind(
                request=self._job.call.request_id,
                pause_s=round(pause_s, 3),
                went_on_s=round(times.last_event_s - times.sent_s, 3),
            ).info("Stream went on.")

    def _fields(self, head: ResponseHead, keep: bool) -> list[tuple[bytes, bytes]]:
        fields = head.headers.forwardable_fields(frozenset())
        if not keep:
            fields.append((b"Connection", b"close"))
        return fields
