"""The platform's implementations for the gateway's wiring."""

from kumquatseam.cachefeeds import CacheClient, DeferredCacheClient
from kumquatseam.gateway import Adapter, Dialect
from kumquatseam.logservice import KeyedListener
from kumquatseam.platform._headers import PlatformDialect
from kumquatseam.platform._topics import (
    OPERATOR_TOPIC,
    UPSTREAM_TOPIC,
    OperatorListener,
    UpstreamListener,
)
from kumquatseam.rollouts import DeferredOrderClient, OrderClient
from kumquatseam.routes import LiveRouteTable
from kumquatseam.upstreams import (
    AvailabilityObserver,
    UpstreamDirectory,
    WeightsTargets,
)


class PlatformAdapter(Adapter):
    """Adapter for the users' platform."""

    operator_topic = OPERATOR_TOPIC
    upstream_topic = UPSTREAM_TOPIC

    def dialect(self) -> Dialect:
        return PlatformDialect()

    def operator_listener(
        self, live: LiveRouteTable, targets: WeightsTargets
    ) -> KeyedListener:
        return OperatorListener(live, targets)

    def order_client(self, observer: AvailabilityObserver) -> OrderClient:
        def load() -> OrderClient:
            from kumquatseam.platform._orders import PlatformOrderClient

            return PlatformOrderClient(observer)

        return DeferredOrderClient(load)

    def cache_client(self, observer: AvailabilityObserver) -> CacheClient:
        def load() -> CacheClient:
            from kumquatseam.platform._cache_events import PlatformCacheClient

            return PlatformCacheClient(observer)

        return DeferredCacheClient(load)

    def upstream_listener(self, directory: UpstreamDirectory) -> KeyedListener:
        return UpstreamListener(directory)
