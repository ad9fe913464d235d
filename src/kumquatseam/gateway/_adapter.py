"""The interface between the gateway and a platform."""

import abc

from kumquatseam.cachefeeds import CacheClient
from kumquatseam.gateway._dialect import Dialect
from kumquatseam.logservice import KeyedListener
from kumquatseam.rollouts import OrderClient
from kumquatseam.routes import LiveRouteTable
from kumquatseam.upstreams import (
    AvailabilityObserver,
    UpstreamDirectory,
    WeightsTargets,
)


class Adapter(abc.ABC):
    """Names and formats of a platform; implement it once per platform."""

    #: keyed topic of the log service with the operators' records.
    operator_topic: str
    #: keyed topic of the log service with the upstreams' entries.
    upstream_topic: str

    @abc.abstractmethod
    def dialect(self) -> Dialect:
        """Return the translator of the platform's headers."""

    @abc.abstractmethod
    def operator_listener(
        self, live: LiveRouteTable, targets: WeightsTargets
    ) -> KeyedListener:
        """Return the listener that applies operators' records."""

    @abc.abstractmethod
    def order_client(self, observer: AvailabilityObserver) -> OrderClient:
        """Return the client that sends orders to engines.

        :param observer: is told what their responses say about further requests.
        """

    @abc.abstractmethod
    def cache_client(self, observer: AvailabilityObserver) -> CacheClient:
        """Return the client that polls the cache contents of engines and stores.

        :param observer: is told what their responses say about further requests.
        """

    @abc.abstractmethod
    def upstream_listener(self, directory: UpstreamDirectory) -> KeyedListener:
        """Return the listener that applies upstreams' entries to ``directory``."""
