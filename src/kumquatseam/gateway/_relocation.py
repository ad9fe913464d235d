"""Move a run away from an engine that is about to load other weights.

An engine finishes its runs before it loads weights. Streams last for seconds, and
waiting for them would keep the engine out of service for as long. Instead, the KV
cache of a run is copied to another engine with the same weights in some ten
milliseconds, and the caller receives one uninterrupted stream.

A run is stopped last: only once its memory is copied, a place at the destination is
reserved and a connection to it is open. Until then it goes on where it is, whatever
fails. Once it is stopped, its source can go on with it as well as its destination.

An engine that is ordered to load finishes its runs first, so a run can always stay. It
does in a stop of this instance, unless it is sure to end before that cuts it.
"""

import math
import time

import gevent

from kumquatseam.admission import RetryCause
from kumquatseam.gateway._grants import AttemptGrants
from kumquatseam.gateway._job import Job
from kumquatseam.gateway._stopped_run import RunReservation, StoppedRun
from kumquatseam.http1 import ConnectFailedError, UpstreamConnection
from kumquatseam.logs import part_logger
from kumquatseam.placement import Placement, RequestWork
from kumquatseam.quotas import UpstreamFullError
from kumquatseam.rollouts import MovedRun, MoveOutcome, MoveResult

_log = part_logger("relocation")

#: longer runs are not moved: copying their KV cache would delay the moves of ten
#: others by a tenth of a second or more, and they have few tokens left to generate.
MAX_MOVED_TOKENS = 4_000
#: pause before a run that was not moved is tried again: the destination engines get no
#: new requests, so some of their runs have ended by then. Doubles each time, since each
#: attempt asks the retry budget of the whole fleet.
RETRY_PAUSE_S = 0.25
#: how long a run that a move stops may pause at most: the call that stops it, and the
#: rounds in which its engines are asked to go on.
MAX_PAUSE_S = 1.6
#: how long it may take to know the processes at both ends of a move; the run goes on
#: meanwhile.
IDENTIFY_WAIT_S = 0.5
#: answers to the call that stops a run after which it may have been stopped.
_MAY_HAVE_STOPPED = (MoveOutcome.DONE, MoveOutcome.UNANSWERED)


class Relocation:
    """Moves one run if its engine is being drained.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param placement: the engine it runs on.
    :param connection: the connection that it is read from.
    """

    def __init__(
        self,
        parts,
        job: Job,
        placement: Placement,
        connection: UpstreamConnection,
    ) -> None:
        self._parts = parts
        self._job = job
        self._placement = placement
        self._connection = connection
        self._move: _Move | None = None
        #: when the next attempt may start, and the pause after it.
        self._next_start_s = 0.0
        self._pause_s = RETRY_PAUSE_S
        self._stays = False

    def start_if_due(self) -> None:
        """Start moving the run if its engine is being drained."""
        source = self._placement.status
        if not source.move_runs_to or not self._may_start():
            return
        if source.version_of(self._placement.model) != self._placement.version:
            # The engine's weights changed during the run: no engine can use its KV
            # cache.
            return
        if self._job.call.tokens > MAX_MOVED_TOKENS:
            return
        if not ends_in_time(self._parts, self._job):
            self._stay("the stop leaves too little time")
            return
        destination = self._parts.placer.move_destination(self._placement)
        if destination is None:
            return
        self._next_start_s = time.monotonic() + self._pause_s
        self._pause_s *= 2
        self._move = _Move(
            self._parts, self._job, self._placement, destination, self._connection
        )
        self._move.start()

    def _stay(self, reason: str) -> None:
        """Let the run end where it is."""
        self._stays = True
        _log.bind(
            request=self._job.call.request_id,
            source=self._placement.status.upstream.incarnation_id,
            reason=reason,
        ).info("Run not moved.")

    def _may_start(self) -> bool:
        """Return whether no move is in progress or was tried too recently."""
        if self._stays:
            return False
        if self._move is None:
            return True
        if not self._move.is_over or self._move.may_have_stopped_run:
            return False
        return time.monotonic() >= self._next_start_s

    def may_have_stopped_run(self) -> bool:
        """Return whether a move may have ended the stream.

        The source closes the stream before it answers, so the answer is waited for.
        """
        if self._move is None:
            return False
        self._move.forbid_stop()
        if self._move.has_asked_to_stop:
            self._move.join()
        return self._move.may_have_stopped_run

    def take_stopped_run(self) -> StoppedRun | None:
        """Return the run to go on with elsewhere, after its stream ended.

        :returns: ``None`` if no move stopped it.
        """
        if not self.may_have_stopped_run():
            return None
        return self._move.take_stopped_run()

    def close(self) -> None:
        """Give back what a move reserved, unless the run was taken."""
        if self._move is not None:
            self._move.close()


def ends_in_time(parts, job: Job) -> bool:
    """Return whether a run that pauses for a move ends before this instance cuts it.

    It is expected to take no longer than requests of its route are allowed. One that
    takes longer already tells nothing of its end.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    """
    stops_in_s = parts.stop.left_s
    if stops_in_s == math.inf:
        return True
    allowed_s = parts.metrics.allowed_s(job.route.name)
    left_s = allowed_s - (time.monotonic() - job.request.received_s)
    return 0.0 < left_s <= stops_in_s - MAX_PAUSE_S


class _Move:
    """One attempt to move a run to one destination.

    :param parts: dependencies (``HandlerParts``).
    :param job: the request.
    :param source: the engine it runs on.
    :param destination: the engine it moves to.
    :param connection: the connection that it is read from.
    """

    def __init__(
        self,
        parts,
        job: Job,
        source: Placement,
        destination: Placement,
        connection: UpstreamConnection,
    ) -> None:
        self._parts = parts
        self._job = job
        self._source = source
        self._destination = destination
        self._connection = connection
        self._reservation = self._new_reservation()
        self._handle = ""
        #: the answer to the call that stops the run; ``None`` until that is sent.
        self._stopped: MoveResult | None = None
        self._may_stop = True
        self._is_closed = False
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start."""
        self._greenlet = gevent.spawn(self._run)

    def join(self) -> None:
        """Wait until it is over."""
        self._greenlet.join()

    @property
    def is_over(self) -> bool:
        """Whether nothing more comes of it."""
        return self._greenlet.ready()

    def forbid_stop(self) -> None:
        """Send no call any more that stops the run: its stream has ended."""
        self._may_stop = False

    @property
    def has_asked_to_stop(self) -> bool:
        """Whether the call that stops the run was sent."""
        return self._stopped is not None

    @property
    def may_have_stopped_run(self) -> bool:
        """Whether the run may have been stopped."""
        if self._stopped is None:
            return False
        return self._stopped.outcome in _MAY_HAVE_STOPPED or bool(self._stopped.handle)

    def close(self) -> None:
        """Free what it reserved, now or when its call has been answered."""
        self._is_closed = True
        self._may_stop = False
        if self.is_over:
            gevent.spawn(self._release)

    def take_stopped_run(self) -> StoppedRun:
        """Return the run, with what was reserved for it."""
        source, destination = self._source, self._destination
        # The answer to the last call may have been lost.
        handle = self._stopped.handle or self._handle
        self._handle = ""
        moved = MovedRun(source.status.upstream.address, handle, self._stopped.events)
        holders = [destination.with_moved_run(moved), source.with_moved_run(moved)]
        if self._stopped.outcome is MoveOutcome.NO_ROOM:
            # The destination may lack what was generated since the copy.
            holders.reverse()
        _log.bind(
            request=self._job.call.request_id,
            source=source.status.upstream.incarnation_id,
            destination=destination.status.upstream.incarnation_id,
            outcome=self._stopped.outcome.value,
            events=self._stopped.events,
        ).info("Run moved.")
        reservation, self._reservation = self._reservation, self._new_reservation()
        return StoppedRun(
            holders,
            destination.status.upstream.incarnation_id,
            reservation,
            lambda: gevent.spawn(self._free_memory, handle),
        )

    def _new_reservation(self) -> RunReservation:
        return RunReservation(AttemptGrants(self._parts, self._job))

    def _run(self) -> None:
        try:
            if self._prepare():
                self._stop()
        finally:
            if self._is_closed or not self.may_have_stopped_run:
                self._release()

    def _prepare(self) -> bool:
        """Copy the run's memory and reserve a place, while the run goes on.

        :returns: whether the run can be stopped.
        """
        destination = self._destination.status.upstream
        grants = self._reservation.grants
        # The destination gets the request once more, and its source may have to.
        grants.need_retry(RetryCause.MOVED)
        if not grants.acquire_retry() or not grants.acquire_spare_retry(
            RetryCause.MOVED
        ):
            return self._abandon("retry budget used up")
        try:
            place = self._parts.limits.places.acquire(
                destination.incarnation_id, self._job.call.request_id
            )
        except UpstreamFullError as error:
            return self._abandon(str(error))
        self._hold(self._destination)
        if place is not None:
            self._parts.limits.places.note_begun(place)
        copied = self._call(stops_run=False)
        self._handle = copied.handle
        if copied.outcome is not MoveOutcome.DONE:
            return self._abandon(copied.outcome.value)
        if not grants.acquire_limit(destination.incarnation_id):
            return self._abandon("limit of the destination has no room")
        try:
            job = self._job
            self._reservation.connection = self._parts.pool.acquire(
                destination.address, job.remaining_s, job.call.request_id
            )
        except ConnectFailedError as error:
            return self._abandon(str(error))
        if not self._is_same_software():
            return self._abandon("software of source or destination unknown")
        if not self._parts.placer.may_move(self._source, self._destination.status):
            return self._abandon("source or destination changed")
        # A stop may have been requested meanwhile.
        if not ends_in_time(self._parts, self._job):
            return self._abandon("the stop leaves too little time")
        return self._may_stop

    def _is_same_software(self) -> bool:
        """Return whether one software version is known to run at both ends.

        Either may have started again, at another version, since its entry was read.
        """
        versions = set()
        for placement, connection in (
            (self._source, self._connection),
            (self._destination, self._reservation.connection),
        ):
            known = self._parts.processes.wait_identified(
                placement.status, connection, IDENTIFY_WAIT_S
            )
            if known is None or not known.upstream.software_version:
                return False
            versions.add(known.upstream.service_version)
        return len(versions) == 1

    def _stop(self) -> None:
        """Stop the run, which copies the rest of its memory."""
        self._stopped = MoveResult(MoveOutcome.UNANSWERED)
        self._hold(self._source)
        self._stopped = self._call(stops_run=True)

    def _call(self, stops_run: bool) -> MoveResult:
        started_s = time.monotonic()
        result = self._parts.orders.move_run(
            self._source.status.upstream,
            self._job.call.request_id,
            self._destination.status.upstream,
            stops_run,
        )
        self._parts.metrics.record_move(stops_run, result.outcome.value)
        _log.bind(
            request=self._job.call.request_id,
            source=self._source.status.upstream.incarnation_id,
            destination=self._destination.status.upstream.incarnation_id,
            stops_run=stops_run,
            outcome=result.outcome.value,
            handle=result.handle,
            took_s=round(time.monotonic() - started_s, 3),
        ).debug("Move asked for.")
        return result

    def _abandon(self, reason: str) -> bool:
        _log.bind(
            request=self._job.call.request_id,
            source=self._source.status.upstream.incarnation_id,
            destination=self._destination.status.upstream.incarnation_id,
            reason=reason,
        ).info("Run not moved.")
        return False

    def _hold(self, placement: Placement) -> None:
        """Count the run on an engine, which is not to load other weights meanwhile."""
        work = RequestWork(placement.status, max_duration_s=self._job.remaining_s)
        self._reservation.in_flight.append(self._parts.work.begin(work))

    def _release(self) -> None:
        self._reservation.end()
        handle, self._handle = self._handle, ""
        self._free_memory(handle)

    def _free_memory(self, handle: str) -> None:
        if handle:
            self._parts.orders.free_run(self._source.status.upstream, handle)
