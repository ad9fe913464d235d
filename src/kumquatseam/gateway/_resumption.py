"""Bind a stream that its caller takes up to the version that began it."""

import attrs

from kumquatseam.gateway._job import Job
from kumquatseam.gateway._refusals import Reason, RefusedError
from kumquatseam.logs import part_logger
from kumquatseam.origins import StreamOrigins
from kumquatseam.origins.keys import stream_key
from kumquatseam.origins.search import OriginSearch
from kumquatseam.upstreams import ServiceVersion, UpstreamDirectory

_log = part_logger("continuation")

#: Retry-After if owners of an origin did not reply, which may have been cut off for a
#: moment.
SEARCH_RETRY_S = 0.3


class StreamResumption:
    """Finds where the streams began that callers take up.

    :param origins: finds the origins.
    :param directory: the known upstreams.
    """

    def __init__(self, origins: StreamOrigins, directory: UpstreamDirectory) -> None:
        self._origins = origins
        self._directory = directory

    def bind(self, job: Job) -> Job:
        """Return the request of a stream with its origin, and that origin's service.

        :raises RefusedError: if it takes a stream up that cannot go on.
        """
        call = job.call
        if not job.route.is_resumable:
            raise RefusedError(
                400, Reason.MALFORMED, detail="streams of the route cannot be resumed"
            )
        if len(call.resumes) > 1:
            raise RefusedError(400, Reason.MALFORMED, detail="several attempts resumed")
        if not call.resumes:
            raise RefusedError(
                503, Reason.ORIGIN_UNKNOWN, detail="does not tell which attempt began"
            )
        key = stream_key(job.team_name, call.first_resumed)
        found = self._origins.find(key)
        self._log_search(job, found)
        if found.origin is None:
            raise RefusedError(
                503,
                Reason.ORIGIN_UNKNOWN,
                None if found.is_complete else SEARCH_RETRY_S,
                f"asked {', '.join(found.asked) or 'nobody'}",
            )
        self._check_served(job, found.origin)
        service = job.table.service(found.origin.service)
        return attrs.evolve(job, service=service, origin=found.origin, origin_key=key)

    def _check_served(self, job: Job, origin: ServiceVersion) -> None:
        """Check that a replica may write the rest.

        :raises RefusedError: if there is none.
        """
        is_routed = any(share.service == origin.service for share in job.route.shares)
        if not is_routed or job.table.service(origin.service) is None:
            raise RefusedError(
                503, Reason.VERSION_GONE, detail=f"{origin.service} has no route"
            )
        if not self._directory.serves(origin):
            raise RefusedError(
                503,
                Reason.VERSION_GONE,
                detail=f"no replica of {origin.service} {origin.software_version}",
            )

    @staticmethod
    def _log_search(job: Job, found: OriginSearch) -> None:
        origin = found.origin
        _log.bind(
            request=job.call.request_id,
            resumes=job.call.first_resumed,
            after=job.call.resume_after,
            service=origin.service if origin else None,
            began_at=origin.software_version if origin else None,
            known_by=found.source,
            known_for_s=round(found.age_s, 3),
            asked=list(found.asked),
            is_complete=found.is_complete,
        ).info("Origin of a stream searched.")
