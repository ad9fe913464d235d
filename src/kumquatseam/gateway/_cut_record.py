"""Log and count accepted requests that were cut; loaded with the first one."""

from kumquatseam.gateway._cuts import Cut
from kumquatseam.gateway._job import Job
from kumquatseam.logs import part_logger
from kumquatseam.upstreams import UNKNOWN_AGE_S

_log = part_logger("request")


def record_cut(parts, job: Job, cut: Cut) -> None:
    """Record that a request ended without a complete response.

    :param parts: dependencies (``HandlerParts``).
    """
    route, model = job.route, job.call.model
    table = parts.live.current
    in_force = table.version if table is not None else None
    newest = parts.targets.newest_version(model)
    age_s = parts.targets.age_s(model)
    parts.metrics.record_cut(cut.by.value, in_force, newest)
    stop = parts.stop
    after_stop_s = job.request.received_s - stop.began_s if stop.is_stopping else None
    _log.bind(
        request=job.call.request_id,
        by=cut.by.value,
        detail=cut.detail,
        upstream=cut.upstream,
        route=route.name,
        is_retryable=route.is_retryable,
        is_resumable=route.is_resumable,
        has_begun=cut.begun is not None,
        begun_by=cut.begun.upstream if cut.begun else None,
        begun_status=cut.begun.head.status if cut.begun else None,
        silent_s=None if cut.silent_s is None else round(cut.silent_s, 3),
        attempts=cut.attempts,
        remaining_s=round(job.remaining_s, 3),
        received_after_stop_s=None if after_stop_s is None else round(after_stop_s, 3),
        configuration=job.table.version,
        configuration_in_force=in_force,
        weights=cut.version,
        weights_named=newest,
        named_s=None if age_s == UNKNOWN_AGE_S else round(age_s, 3),
    ).info("Request cut.")
