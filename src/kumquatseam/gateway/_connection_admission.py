"""Which new connections of callers are served."""

import resource
from collections.abc import Callable

from kumquatseam.gateway._loop_idleness import LoopIdleness
from kumquatseam.logs import part_logger

_log = part_logger("server")

#: the loop is saturated after this long without having been idle. What was accepted
#: until then is served within a few times as long.
SATURATED_AFTER_S = 0.25
#: and after this much processor time of its own, so that a process that waits for a
#: processor is not taken for one with too much work.
SATURATED_PROCESSOR_S = 0.1
#: share of the descriptors for callers' connections. Each request needs another one
#: to its upstream, and peers and the log service need some.
CALLER_DESCRIPTORS_SHARE = 0.45
#: connections that may be open for a moment, while some of them are being closed, as a
#: share of those that may be served.
CLOSING_SHARE = 1.1


class ConnectionAdmission:
    """Turns new connections away that this instance could not serve.

    A connection that is closed before its request is read costs its caller one more
    try, at another instance. Once a request is read it has to be served here: with too
    many of them each is served later than the one before, and none in time.

    :param idleness: observes the event loop; without one, only places are limited.
    :param max_descriptors: descriptors that this instance may use; 0 for as many as
        the system allows.
    :param max_connections: connections that may be served; 0 for a share of the
        descriptors.
    """

    def __init__(
        self,
        idleness: LoopIdleness | None,
        max_descriptors: int = 0,
        max_connections: int = 0,
    ) -> None:
        self._idleness = idleness
        self._max_descriptors = max_descriptors
        self._fixed_connections = max_connections
        self._was_saturated = False
        #: connections turned away since the start.
        self.turned_away = 0

    def close(self) -> None:
        """Stop observing the event loop."""
        if self._idleness is not None:
            self._idleness.close()

    def admit(self, open_connections: int, free_place: Callable[[], bool]) -> bool:
        """Return whether a new connection may be served.

        :param open_connections: connections of callers that are open already.
        :param free_place: begins to close one that is idle; returns whether there is
            one.
        """
        if self._idleness is not None:
            self._idleness.observe()
        is_saturated = self._is_saturated
        if is_saturated and not self._was_saturated:
            _log.bind(turned_away=self.turned_away).info(
                "Saturated: new connections are turned away."
            )
        self._was_saturated = is_saturated
        may_serve = not is_saturated and (
            open_connections < self._max_connections
            or open_connections < self._max_connections * CLOSING_SHARE
            and free_place()
        )
        self.turned_away += not may_serve
        return may_serve

    @property
    def _is_saturated(self) -> bool:
        idleness = self._idleness
        return idleness is not None and (
            idleness.busy_s >= SATURATED_AFTER_S
            and idleness.busy_processor_s >= SATURATED_PROCESSOR_S
        )

    @property
    def _max_connections(self) -> int:
        if self._fixed_connections:
            return self._fixed_connections
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if self._max_descriptors:
            limit = min(limit, self._max_descriptors)
        return int(limit * CALLER_DESCRIPTORS_SHARE)
