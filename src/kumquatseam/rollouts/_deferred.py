"""An order client whose code is loaded with the first call."""

from collections.abc import Callable

from kumquatseam.rollouts._orders import (
    EngineReport,
    MoveResult,
    OrderClient,
    OrderOutcome,
    WeightsOrder,
)
from kumquatseam.upstreams import Upstream


class DeferredOrderClient(OrderClient):
    """Passes calls on to a client.

    :param load: returns that client.
    """

    def __init__(self, load: Callable[[], OrderClient]) -> None:
        self._load = load
        self._loaded: OrderClient | None = None

    def close(self) -> None:
        if self._loaded is not None:
            self._loaded.close()

    def order(self, upstream: Upstream, order: WeightsOrder) -> OrderOutcome:
        return self._client.order(upstream, order)

    def report(self, upstream: Upstream) -> EngineReport | None:
        return self._client.report(upstream)

    def move_run(
        self,
        source: Upstream,
        request_id: str,
        destination: Upstream,
        stops_run: bool,
    ) -> MoveResult:
        return self._client.move_run(source, request_id, destination, stops_run)

    def free_run(self, source: Upstream, handle: str) -> None:
        self._client.free_run(source, handle)

    @property
    def _client(self) -> OrderClient:
        if self._loaded is None:
            self._loaded = self._load()
            self._loaded.start()
        return self._loaded
