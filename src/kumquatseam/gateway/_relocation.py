"""Moving a run away from an engine that is about to load other weights.

An engine finishes its runs before it loads; streams last for seconds, so
waiting for them would keep it out of service for as long. A run's memory is
copied to another engine of the same weights in some ten milliseconds, and the
caller sees one stream.
"""

import time

import gevent

from kumquatseam.logs import part_logger
from kumquatseam.placement import Placement

_log = part_logger("relocation")

#: longer runs stay where they are: their memory would hold up the moves of ten
#: others for a tenth of a second and more, and they have few tokens to make.
MAX_MOVED_TOKENS = 4_000
#: a run that no engine had room for is tried again after this: the engines that
#: take runs get no new work, so some of theirs have ended by then.
RETRY_PAUSE_S = 0.25


class Relocation:
    """The move of one run, if it comes to that.

    :param parts: what serving needs.
    :param job: the request (``Job``).
    :param placement: where it runs.
    """

    def __init__(self, parts, job, placement: Placement) -> None:
        self._parts = parts
        self._job = job
        self._placement = placement
        self._destination: Placement | None = None
        self._moving: gevent.Greenlet | None = None
        self._began_s = 0.0

    def begin_if_due(self) -> None:
        """Begin to move the run if its engine is to be emptied."""
        source = self._placement.status
        if not source.move_runs_to or not self._may_begin():
            return
        if source.version_of(self._placement.model) != self._placement.version:
            # Its weights were changed under it: no engine has what its memory needs.
            return
        if self._job.call.tokens > MAX_MOVED_TOKENS:
            return
        self._destination = self._parts.placer.move_destination(self._placement)
        if self._destination is None:
            return
        self._began_s = time.monotonic()
        self._moving = gevent.spawn(
            self._parts.orders.move_run,
            source.upstream,
            self._job.call.request_id,
            self._destination.status.upstream,
        )

    def _may_begin(self) -> bool:
        """Return whether no move is under way and none was tried just now."""
        if self._moving is None:
            return True
        if not self._moving.ready() or self._moving.value is not None:
            return False
        return time.monotonic() >= self._began_s + RETRY_PAUSE_S

    def finish(self) -> Placement | None:
        """Return where the run goes on, after its stream stopped.

        :returns: ``None`` if it was not moved.
        """
        if self._moving is None:
            return None
        moved = self._moving.get()
        _log.bind(
            request=self._job.call.request_id,
            source=self._placement.status.upstream.incarnation_id,
            destination=self._destination.status.upstream.incarnation_id,
            events=moved.events if moved else None,
        ).info("Run moved." if moved else "Run lost in a move.")
        if moved is None:
            return None
        return self._destination.with_moved_run(moved)
