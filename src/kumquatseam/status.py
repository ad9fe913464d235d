"""The ``/kumquatseam/status`` object: state and metrics of one daemon."""

import time
from collections.abc import Callable

import attrs

from kumquatseam.fleet import LiveConfiguration
from kumquatseam.metrics.figures import RequestStatistics
from kumquatseam.routing import Router

#: percentile of the time to first token that is reported per priority class.
CLASS_PERCENTILE = 99


class DaemonStatus:
    """Builds the status object of a daemon.

    :param live: the active configuration.
    :param router: the router, with its view of the engines.
    :param figures: request metrics since the start.
    :param count_routers: returns the number of live routers, including this one.
    :param read_control_bytes: returns the bytes exchanged with peers so far.
    """

    def __init__(
        self,
        live: LiveConfiguration,
        router: Router,
        figures: RequestStatistics,
        count_routers: Callable[[], int],
        read_control_bytes: Callable[[], int],
    ) -> None:
        self._live = live
        self._router = router
        self._figures = figures
        self._count_routers = count_routers
        self._read_control_bytes = read_control_bytes

    def read(self) -> dict:
        """Return the status object."""
        summary = self._figures.summary()
        return {
            "policy": self._router.policy_name,
            "next_offset": self._live.next_offset,
            "routers_alive": self._count_routers(),
            "control_bytes": self._read_control_bytes(),
            "engines": self._engines(),
            "figures": {
                **attrs.asdict(summary),
                "prefix_hit_rate": summary.prefix_hit_rate,
                "class_ttft_p99_ms": self._figures.class_ttft_ms(CLASS_PERCENTILE),
            },
        }

    def _engines(self) -> dict[str, dict]:
        now_s = time.monotonic()
        fleet, index = self._router.fleet, self._router.index
        return {
            name: {
                "live": fleet.is_live(name, now_s),
                "epoch": fleet.epoch(name),
                "load_requests": fleet.load_requests(name),
                "index_blocks": index.size_blocks(name),
                "lost_event_batches": index.lost_batches(name),
            }
            for name in fleet.names()
        }
