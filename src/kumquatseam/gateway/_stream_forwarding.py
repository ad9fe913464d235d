"""Pass an upstream's events on to the caller; loaded with the first stream."""

import time
from typing import TYPE_CHECKING

from kumquatseam.gateway._caller_response import CallerResponse
from kumquatseam.gateway._continuation import Continuation
from kumquatseam.gateway._event_times import EventTimes
from kumquatseam.gateway._events import EventSplitter
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._outcomes import RunMovedError
from kumquatseam.gateway._response_buffer import ResponseBuffer
from kumquatseam.gateway._run_guard import RunGuard
from kumquatseam.gateway._upstream_response import UpstreamResponse
from kumquatseam.http1 import ResponseInterruptedError
from kumquatseam.logs import part_logger

if TYPE_CHECKING:
    from kumquatseam.gateway._relocation import Relocation

_log = part_logger("exchange")

#: maximum size of an event; longer ones take memory and are no events.
MAX_EVENT_BYTES = 262_144


class StreamForwarder:
    """Sends events to a caller; a stream may consist of those of several upstreams.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param caller_response: the response as its caller receives it.
    :param events: the events sent so far.
    :param times: when they arrived.
    :param continuation: follows the stream over the upstreams that write it.
    :param guard: records that the upstream outlived the beginning of its response.
    """

    def __init__(
        self,
        parts,
        job: Job,
        caller_response: CallerResponse,
        events: EventSplitter,
        times: EventTimes,
        continuation: Continuation,
        guard: RunGuard,
    ) -> None:
        self._parts = parts
        self._job = job
        self._caller_response = caller_response
        self._events = events
        self._times = times
        self._continuation = continuation
        self._guard = guard

    def forward(self, response: UpstreamResponse, buffer: ResponseBuffer) -> None:
        """Forward a stream event by event, so that it can be resumed elsewhere.

        :param buffer: holds what is no complete event yet.
        :raises ResponseInterruptedError: if it ends before it is complete.
        :raises RunMovedError: if its run was moved to another engine.
        :raises CallerDisconnectedError: if the caller left, or receives too slowly.
        """
        connection, wait = response.connection, response.wait
        relocation = None
        try:
            while data := connection.read_body(wait):
                wait.note_first_event()
                response.in_flight_request.note_heard()
                response.limit_silence(self._job)
                self._check_software(response)
                self._send_events(response, self._events.feed(data))
                self._check_events(response, buffer)
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
        self._send_events(response, self._events.flush())
        if self._caller_response.begun is None:
            self._caller_response.send_events(response, b"")
        self._caller_response.finish()
        if self._continuation.may_reuse(response.placement, response.connection):
            response.release(self._parts.pool)

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

    def _check_events(self, response: UpstreamResponse, buffer: ResponseBuffer) -> None:
        """Check what was received and not sent.

        :raises ResponseInterruptedError: if it is no event, or too large to be one.
        """
        buffer.hold(self._events.partial_bytes)
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

    def _send_events(self, response: UpstreamResponse, data: bytes) -> None:
        if not data:
            return
        self._continuation.note_events(response.placement, response.connection)
        self._record_event(response)
        if self._caller_response.send_events(response, data):
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
