"""Which services have upstreams that end if they refuse too many requests."""

from kumquatseam.upstreams._limits import (
    NO_LIMIT_PER_S,
    AnnouncedLimits,
    LimitReport,
)

#: begins the subjects under which the limits of refusals are kept.
_PREFIX = "brittle/"


class Brittleness:
    """How many refusals a second the upstreams of each service bear.

    The upstreams of a service become brittle together, so what one of them says holds
    for all, also for one that has just started and for those that no longer respond.
    It ends only by the response of a run that was sent after the last response which
    said so had arrived.

    :param announced: keeps and merges what responses and other instances say.
    """

    def __init__(self, announced: AnnouncedLimits) -> None:
        self._announced = announced

    def bearable_per_s(self, service: str) -> float | None:
        """Return the refusals a second that an upstream of a service bears.

        :returns: ``None`` if its upstreams are not known to be brittle.
        """
        known = self._announced.of(_PREFIX + service)
        return known.rate_per_s if known.is_limited else None

    def observe(
        self, service: str, refusals_per_s: float | None, sent_s: float
    ) -> bool:
        """Record what a response says that arrives now.

        :param refusals_per_s: what its upstream bears; ``None`` if it says nothing.
        :param sent_s: when the request was sent, by
            :func:`~kumquatseam.clocks.elapsed_s`.
        :returns: whether that is new.
        """
        rate_per_s = NO_LIMIT_PER_S if refusals_per_s is None else refusals_per_s
        return self._announced.observe(_PREFIX + service, rate_per_s, sent_s)

    def report_of(self, service: str) -> LimitReport:
        """Return what is known of a service, to be sent to an instance."""
        return self._announced.report_of(_PREFIX + service)

    def merge_report(self, report: LimitReport) -> None:
        """Merge what another instance knows."""
        self._announced.merge_report(report)

    def age_s(self, service: str) -> float:
        """Return the time since an upstream of a service last said so."""
        return self._announced.age_s(_PREFIX + service)


def brittle_service(subject: str) -> str | None:
    """Return the service whose brittleness is kept under a subject, if it is one."""
    return subject[len(_PREFIX) :] if subject.startswith(_PREFIX) else None
