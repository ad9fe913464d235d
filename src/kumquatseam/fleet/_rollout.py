"""Bringing engines to the weights the configuration names.

One router holds the duty. It compares the weights each engine names in its
load reports with those it is to run and orders loads, a few at a time since
the weight store is rate-limited. Only what an engine says of itself counts:
an order's answer proves nothing, because a paused router's late order may be
carried out after it by an engine that ignores fencing tokens. Such an engine
then names the wrong weights and is ordered again.
"""

import time
from collections.abc import Callable

from kumquatseam.engines import (
    EngineOrderClient,
    EngineTarget,
    LoadOrder,
    OrderRefusedError,
    OrderUnansweredError,
)
from kumquatseam.fleet._lease import DutyLease
from kumquatseam.fleet._live import LiveConfiguration
from kumquatseam.logs import part_logger
from kumquatseam.settings import UpstreamSettings

_log = part_logger("rollout")

#: engines loading weights at once; the weight store slows down past three.
MAX_LOADS = 3
#: an order whose weights have not appeared after this long is given again.
ORDER_PATIENCE_S = 5.0

ReadEpoch = Callable[[str], str | None]
ReadVersion = Callable[[str, str], str | None]


class WeightsRollout:
    """Orders engines to load the weights they are to run.

    :param live: the configuration in force.
    :param lease: this router's part in the duty.
    :param orders: gives the orders.
    :param read_epoch: an engine's life as last heard.
    :param read_version: the weights of a model it last named.
    :param holder: this router's name.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        live: LiveConfiguration,
        lease: DutyLease,
        orders: EngineOrderClient,
        read_epoch: ReadEpoch,
        read_version: ReadVersion,
        holder: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._live = live
        self._lease = lease
        self._orders = orders
        self._read_epoch = read_epoch
        self._read_version = read_version
        self._holder = holder
        self._clock = clock
        self._ordered_s: dict[tuple[str, str, str], float] = {}

    def step(self) -> None:
        """Give the orders that are due now, if this router holds the duty."""
        if self._lease.fence is None:
            self._ordered_s.clear()
            return
        due = self._due()
        now_s = self._clock()
        pending = {key for key in self._ordered_s if key in due}
        self._ordered_s = {key: self._ordered_s[key] for key in pending}
        loading = {
            key for key, s in self._ordered_s.items() if now_s - s < ORDER_PATIENCE_S
        }
        for key, upstream in due.items():
            if len(loading) >= MAX_LOADS:
                return
            if key not in loading and self._order(upstream, key[1], key[2]):
                self._ordered_s[key] = self._clock()
                loading.add(key)

    def _due(self) -> dict[tuple[str, str, str], UpstreamSettings]:
        """Return engines that name other weights than they are to run."""
        configuration = self._live.current
        found = {}
        for upstream in configuration.upstreams:
            for model in upstream.models:
                named = self._read_version(upstream.name, model)
                desired = configuration.desired_version(upstream, model)
                if named is not None and named != desired:
                    found[(upstream.name, model, desired)] = upstream
        return found

    def _order(self, upstream: UpstreamSettings, model: str, version: str) -> bool:
        fence = self._lease.fence
        if fence is None:
            return False
        order = LoadOrder(
            model=model,
            version=version,
            adapters=self._live.current.model(model).adapters,
            holder=self._holder,
            fence=fence,
            expected_epoch=self._read_epoch(upstream.name),
        )
        target = EngineTarget(upstream.name, upstream.url)
        _log.info(
            "Ordering engine={} model={} version={} fence={}.",
            upstream.name,
            model,
            version,
            fence,
        )
        try:
            self._orders.load(target, order)
        except OrderRefusedError as error:
            _log.info("{}.", error)
            return False
        except OrderUnansweredError as error:
            _log.warning("{}.", error)
        return True
