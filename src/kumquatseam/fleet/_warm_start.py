"""Load a restarted router's warm state from the log's snapshot and a live peer.

The router serves without it meanwhile; warm state only improves its choice
of engine. Adopted state is scoped by engine epoch, so state from before an
engine's restart is dropped as soon as the engine reports its new epoch.
"""

import time
from collections.abc import Callable

import gevent

from kumquatseam.fleet._membership import Membership
from kumquatseam.fleet._messages import WarmState, WarmStateRequest
from kumquatseam.fleet._peer_configuration import query_router
from kumquatseam.fleet._snapshots import read_warm_state
from kumquatseam.logs import part_logger
from kumquatseam.logservice import LogService, LogServiceError

_log = part_logger("warm")

#: how long a starting router tries to reach a live peer.
PEER_SEARCH_TIMEOUT_S = 5.0
PEER_RETRY_PAUSE_S = 0.2


class WarmStart:
    """Fetches warm state once after the start, in the background.

    :param log: the log service, if there is one.
    :param membership: the peers, if there are any.
    :param adopt: merges warm state and returns the number of blocks it added.
    """

    def __init__(
        self,
        log: LogService | None,
        membership: Membership | None,
        adopt: Callable[[WarmState], int],
    ) -> None:
        self._log_service = log
        self._membership = membership
        self._adopt = adopt
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start fetching."""
        self._greenlets = [
            gevent.spawn(self._fetch_from_log),
            gevent.spawn(self._fetch_from_peer),
        ]

    def close(self) -> None:
        """Stop fetching."""
        gevent.killall(self._greenlets)

    def _fetch_from_log(self) -> None:
        if self._log_service is None:
            return
        began_s = time.monotonic()
        try:
            state = read_warm_state(self._log_service)
        except LogServiceError as error:
            _log.info("Cannot read the warm-state snapshot: {}.", error)
            return
        if state is not None:
            self._merge(state, "the log's snapshot", began_s)

    def _fetch_from_peer(self) -> None:
        if self._membership is None:
            return
        began_s = time.monotonic()
        while time.monotonic() - began_s < PEER_SEARCH_TIMEOUT_S:
            for member in self._membership.targets():
                state = query_router(member.address, WarmStateRequest())
                if isinstance(state, WarmState):
                    self._merge(state, f"router {member.name}", began_s)
                    return
            gevent.sleep(PEER_RETRY_PAUSE_S)

    def _merge(self, state: WarmState, source: str, began_s: float) -> None:
        added = self._adopt(state)
        took_ms = (time.monotonic() - began_s) * 1000
        _log.info("Adopted blocks={} from {} after_ms={:.0f}.", added, source, took_ms)
