"""Places at brittle upstreams, for the requests of this instance."""

from typing import TYPE_CHECKING

from kumquatseam.quotas._errors import UpstreamFullError
from kumquatseam.quotas._owners import ShardOwners
from kumquatseam.quotas._place_grant import PlaceGrant
from kumquatseam.upstreams import (
    Brittleness,
    LimitReport,
    UpstreamDirectory,
    UpstreamStatus,
)

if TYPE_CHECKING:
    from kumquatseam.quotas._place_grants import PlaceGrants


class UpstreamPlaces:
    """Acquires places at brittle upstreams, which end if they refuse many requests.

    Nothing is sent, kept or loaded before an upstream is brittle.

    :param owners: the owners of places.
    :param brittleness: which services are brittle.
    :param directory: the upstreams, with this process's own requests.
    """

    def __init__(
        self,
        owners: ShardOwners,
        brittleness: Brittleness,
        directory: UpstreamDirectory,
    ) -> None:
        self._owners = owners
        self.brittleness = brittleness
        self._directory = directory
        self._grants: PlaceGrants | None = None
        #: requests sent with a place, and places that were not granted.
        self.sent = 0
        self.not_granted = 0
        #: requests that brittle upstreams refused.
        self.refused = 0
        directory.on_request_ended(self._handle_request_ended)

    def bearable_per_s(self, incarnation_id: str) -> float | None:
        """Return the refusals a second that an upstream bears; ``None`` for any."""
        status = self._directory.status(incarnation_id)
        if status is None:
            return None
        return self.brittleness.bearable_per_s(status.upstream.service)

    def report_of(self, incarnation_id: str) -> LimitReport | None:
        """Return what an upstream bears, to be sent to an instance."""
        if self.bearable_per_s(incarnation_id) is None:
            return None
        service = self._directory.status(incarnation_id).upstream.service
        return self.brittleness.report_of(service)

    def log_fields(self, incarnation_id: str) -> dict[str, float]:
        """Return what an upstream bears, and how long ago that was said."""
        bearable_per_s = self.bearable_per_s(incarnation_id)
        if bearable_per_s is None:
            return {}
        service = self._directory.status(incarnation_id).upstream.service
        age_s = round(self.brittleness.age_s(service), 3)
        return {"bearable_refusals": bearable_per_s, "brittle_age_s": age_s}

    def acquire(
        self, incarnation_id: str, key: str = "", max_wait_s: float = 0.0
    ) -> PlaceGrant | None:
        """Return a place for one request, after a round trip to most owners.

        :param key: identifies the request while it waits.
        :param max_wait_s: how long it waits for its turn; it has to ask again then.
        :returns: ``None`` if the upstream is not brittle.
        :raises UpstreamFullError: if there is none.
        """
        if self.bearable_per_s(incarnation_id) is None:
            return None
        status = self._directory.status(incarnation_id)
        try:
            return self._load().acquire(status, key, max_wait_s)
        except UpstreamFullError:
            self.not_granted += 1
            raise

    def note_begun(self, grant: PlaceGrant) -> None:
        """Record that the request counts as running, or is not sent.

        Its place is free again when it ends.
        """
        self._load().note_begun(grant)

    def release(self, grant: PlaceGrant) -> None:
        """Return the place of a request that is not sent."""
        self._load().release(grant, self._directory.status(grant.incarnation_id))

    def note_refused(self, status: UpstreamStatus) -> None:
        """Record that an upstream refused a request; owners are told when it ends."""
        if self._is_brittle(status):
            self.refused += 1
            self._load().note_refused(status)

    def observe(
        self, status: UpstreamStatus, refusals_per_s: float | None, sent_s: float
    ) -> None:
        """Record what a response says of its upstream's brittleness.

        :param refusals_per_s: what it bears; ``None`` if it says nothing of the kind.
        :param sent_s: when the request was sent, by
            :func:`~kumquatseam.clocks.elapsed_s`.
        """
        service = status.upstream.service
        if self.brittleness.observe(service, refusals_per_s, sent_s):
            self._load().tell_brittleness(status)

    def note_brittle(self, service: str) -> None:
        """Tell the owners of a service's upstreams what runs there already."""
        if self.brittleness.bearable_per_s(service) is None:
            return
        for status in self._directory.of_service(service):
            if status.running:
                self._load().report(status)

    def forget(self, incarnation_id: str) -> None:
        """Drop what is known of an upstream that ended."""
        if self._grants is not None:
            self._grants.forget(incarnation_id)

    def sweep(self) -> None:
        """Tell owners again of places that are held for long."""
        if self._grants is not None:
            self._grants.sweep(self._directory)

    def _is_brittle(self, status: UpstreamStatus) -> bool:
        return self.brittleness.bearable_per_s(status.upstream.service) is not None

    def _handle_request_ended(self, status: UpstreamStatus) -> None:
        if self._is_brittle(status):
            self._load().report(status)

    def _load(self) -> "PlaceGrants":
        """Return what asks the owners; it is loaded with the first brittle upstream."""
        if self._grants is None:
            from kumquatseam.quotas._place_grants import PlaceGrants

            self._grants = PlaceGrants(self._owners, self.brittleness)
        return self._grants
