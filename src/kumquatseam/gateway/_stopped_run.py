"""A run that a move stopped, until an engine has gone on with it."""

from collections.abc import Callable, Sequence

import attrs
import gevent

from kumquatseam.admission import RetryCause
from kumquatseam.gateway._grants import AttemptGrants
from kumquatseam.http1 import (
    ResponseInterruptedError,
    ResponseTimeoutError,
    UpstreamConnection,
)
from kumquatseam.placement import Placement
from kumquatseam.upstreams import InFlightRequest, Unavailability

#: how often the engines that hold a run's memory are asked to go on with it.
MAX_ROUNDS = 4
#: pause before the second round; doubles each time, to 1.05 s in all. An engine that
#: refuses may still be copying, and callers abandon a stream after two seconds without
#: events, of which the call that stopped the run may have taken 0.4.
ROUND_PAUSE_S = 0.15


@attrs.define
class RunReservation:
    """What keeps a place for a run while it is moved.

    :param grants: of the first attempt to go on with it.
    :param connection: open connection to the destination, if any.
    :param in_flight: count the run on its destination and, once it is stopped, on its
        source.
    """

    grants: AttemptGrants
    connection: UpstreamConnection | None = None
    in_flight: list[InFlightRequest] = attrs.Factory(list)

    def end(self) -> None:
        """Give back what was not used."""
        self.grants.release()
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        while self.in_flight:
            self.in_flight.pop().end()


class StoppedRun:
    """A run whose memory several engines hold, each of which can go on with it.

    Its destination has a copy, and its source keeps its own memory. The handle of both
    can be used once, so that at most one of them goes on.

    :param holders: the engines, in the order in which they are asked.
    :param destination: the incarnation that the connection leads to.
    :param reservation: what was reserved for it.
    :param release: frees its memory if none of them goes on.
    """

    def __init__(
        self,
        holders: Sequence[Placement],
        destination: str,
        reservation: RunReservation,
        release: Callable[[], None],
    ) -> None:
        self._all_holders = list(holders)
        self._holders = list(holders)
        self._destination = destination
        self._reservation = reservation
        self._release = release
        self._queue = list(holders)
        self._rounds_left = MAX_ROUNDS
        self._pause_s = ROUND_PAUSE_S
        self._is_first = True
        #: whether an engine got its request and did not answer.
        self.is_unanswered = False

    def hand_over_grants(self, grants: AttemptGrants) -> None:
        """Put the grants of the first attempt to go on with it into ``grants``."""
        self._reservation.grants.hand_over(grants)

    def next_placement(self, grants: AttemptGrants) -> Placement | None:
        """Return the engine to ask now; ``None`` if none of them goes on.

        :param grants: gets what the attempt needs.
        """
        while True:
            while self._queue:
                placement = self._queue.pop(0)
                if self._may_ask(placement, grants):
                    return placement
            self._rounds_left -= 1
            if self._rounds_left <= 0 or not self._holders:
                return None
            gevent.sleep(self._pause_s)
            self._pause_s *= 2
            self._queue = list(self._holders)

    def may_ask_again(
        self,
        placement: Placement,
        error: ResponseInterruptedError,
        response: object | None,
    ) -> bool:
        """Return whether to ask again after a request to go on was interrupted.

        The same engine, and no other: if it has begun to go on, the handle is used and
        it refuses.

        :param placement: the engine.
        :param response: its response, if its head was received.
        """
        if response is not None or isinstance(error, ResponseTimeoutError):
            return False
        self.is_unanswered = True
        self._holders = [placement]
        self._queue = []
        return True

    def note_misdirected(self, placement: Placement) -> None:
        """Record that an engine is gone, or runs other weights by now.

        The run is not at work there, whatever became of earlier requests.
        """
        incarnation_id = placement.status.upstream.incarnation_id
        self._all_holders = [
            holder
            for holder in self._all_holders
            if holder.status.upstream.incarnation_id != incarnation_id
        ]
        self._holders = list(self._all_holders)
        self._queue = list(self._all_holders)
        self.is_unanswered = False

    def take_connection(self, placement: Placement) -> UpstreamConnection | None:
        """Return the connection that was opened before the run was stopped."""
        if placement.status.upstream.incarnation_id != self._destination:
            return None
        connection, self._reservation.connection = self._reservation.connection, None
        if connection is not None and not connection.is_open_and_idle():
            connection.close()
            return None
        return connection

    def note_resumed(self) -> None:
        """Record that an engine goes on with the run."""
        self._reservation.end()

    def close(self) -> None:
        """Give the run up."""
        self._reservation.end()
        self._release()

    def _may_ask(self, placement: Placement, grants: AttemptGrants) -> bool:
        """Return whether an engine may be asked now, and acquire what that takes."""
        status = placement.status
        if status.availability.left_s(Unavailability.RESTING):
            return False
        if not grants.acquire_limit(status.upstream.incarnation_id):
            return False
        if not self._is_first:
            grants.need_retry(RetryCause.REFUSED)
        self._is_first = False
        return grants.acquire_retry()
