"""Record what the heads of responses say about the upstreams that sent them."""

import time

from kumquatseam.gateway._call import ResponseTraits
from kumquatseam.gateway._event_times import EventTimes
from kumquatseam.gateway._job import Job
from kumquatseam.http1 import ResponseHead
from kumquatseam.logs import part_logger
from kumquatseam.upstreams import UpstreamStatus

_log = part_logger("exchange")


class ResponseNotes:
    """Records the responses to one request.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param times: when its current attempt was sent.
    """

    def __init__(self, parts, job: Job, times: EventTimes) -> None:
        self._parts = parts
        self._job = job
        self._times = times

    def record(
        self,
        status: UpstreamStatus,
        head: ResponseHead,
        traits: ResponseTraits,
        sent_elapsed_s: float,
    ) -> None:
        """Record the head of a response.

        :param status: the upstream that the request was sent to.
        :param sent_elapsed_s: the time of sending for the observation of limits.
        """
        directory, model = self._parts.directory, self._job.call.model
        if model and traits.weights_version is not None:
            status.record_version(model, traits.weights_version, time.monotonic())
        self._observe_limit(status, traits, sent_elapsed_s)
        self._note_availability(status, traits)
        is_expected = traits.responding_id in ("", status.upstream.upstream_id)
        if is_expected:
            self._observe_brittleness(status, traits, sent_elapsed_s)
        if not traits.is_not_run:
            directory.note_answer(status, head.status >= 500)
            return
        _log.bind(
            request=self._job.call.request_id,
            upstream=status.upstream.incarnation_id,
            status=head.status,
            version=traits.weights_version,
            # This request among them.
            own_running=status.running,
            slots=status.upstream.slots,
            **self._parts.limits.places.log_fields(status.upstream.incarnation_id),
        ).info("Refused by the upstream.")
        if is_expected:
            directory.note_refused(status)
            self._parts.limits.places.note_refused(status)
        else:
            directory.note_address_reused(status, traits.responding_id)

    def _note_availability(
        self, status: UpstreamStatus, traits: ResponseTraits
    ) -> None:
        """Record what the response says about further requests."""
        directory = self._parts.directory
        incarnation_id = status.upstream.incarnation_id
        if traits.responding_id not in ("", status.upstream.upstream_id):
            incarnation_id = directory.incarnation_of(traits.responding_id)
        directory.note_availability(incarnation_id, traits.availability)
        if not traits.is_not_run:
            status.availability.note_served(self._times.sent_s)

    def _observe_brittleness(
        self, status: UpstreamStatus, traits: ResponseTraits, sent_elapsed_s: float
    ) -> None:
        """Record what the response says of its service's brittleness.

        Only the response of a run shows that it is not brittle any more.
        """
        is_from_run = traits.is_signed and not traits.is_not_run
        if traits.brittle_refusals is not None or is_from_run:
            self._parts.limits.places.observe(
                status, traits.brittle_refusals, sent_elapsed_s
            )

    def _observe_limit(
        self, status: UpstreamStatus, traits: ResponseTraits, sent_elapsed_s: float
    ) -> None:
        """Record the limit that the response announces."""
        upstream = status.upstream
        if traits.responding_id in ("", upstream.upstream_id):
            self._parts.limits.observe(
                upstream.incarnation_id,
                traits.limit_per_s,
                sent_elapsed_s,
                is_from_run=traits.is_signed and not traits.is_not_run,
            )
