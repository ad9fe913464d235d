"""The route table: one version of the configuration."""

import enum
from collections.abc import Iterable

import attrs

from kumquatseam.http1 import RequestLimits


class Repeatability(enum.Enum):
    """Whether a route's requests may be executed more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@attrs.frozen
class TrafficShare:
    """A service's share of a route's requests.

    :param service: the service's name.
    :param weight: its share relative to the route's other shares.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Services and limits for the requests of one host and path prefix.

    :param name: the name that operators gave it.
    :param host: exact host, lower case.
    :param path_prefix: begins and ends with a slash.
    :param repeatability: whether a request may be executed more than once.
    :param is_stream: whether answers are event streams.
    :param is_resumable: whether a broken stream may be resumed after its last event.
    :param timeout_s: longest time that a request may be kept waiting.
    :param target_latency_s: target time to the answer (or first event).
    :param target_event_gap_s: target for the longest pause between events.
    :param priority: 0 is the most urgent.
    :param max_attempts: number of upstreams that one request may be sent to.
    :param is_public: whether requests need no key.
    :param shares: services that take its requests; the sum of weights is positive.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    shares: tuple[TrafficShare, ...]
    is_stream: bool = False
    is_resumable: bool = False
    timeout_s: float = 30.0
    target_latency_s: float = 1.0
    target_event_gap_s: float = 1.0
    priority: int = 5
    max_attempts: int = 1
    is_public: bool = False

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have been executed may be sent again."""
        return self.repeatability is Repeatability.IDEMPOTENT or self.is_resumable

    def service_for(self, draw: float) -> str:
        """Return the service for a request, in proportion to the weights.

        :param draw: a uniform random number from 0 to below 1.
        """
        point = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@attrs.frozen
class EngineTraits:
    """Properties that all model engines of a service share.

    :param slots: requests that an engine runs at once.
    :param cache_tokens: capacity of an engine's KV cache, in tokens.
    :param models: the models that they serve.
    :param event_pollers: number of concurrent polls for cache events that an engine
        answers.
    :param cache_token_bytes: size of one token's KV cache.
    :param link_mbps: bandwidth of an engine's link to other engines and to stores.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...] = ()
    event_pollers: int = 0
    cache_token_bytes: int = 163_840
    link_mbps: float = 130_000.0

    def transfer_ms_per_token_over(self, link_mbps: float) -> float:
        """Return the time to transfer one token's KV cache from another link.

        :param link_mbps: bandwidth of the other end's link; 0 if unknown.
        """
        slower_mbps = min(self.link_mbps, link_mbps or self.link_mbps)
        return self.cache_token_bytes * 8 / (slower_mbps * 1000.0)


@attrs.frozen
class CacheStore:
    """A KV-cache store outside the engines.

    :param address: ``host:port`` for engines to fetch from and send to.
    :param availability_zone: its zone.
    :param cache_tokens: its capacity, in tokens.
    :param link_mbps: bandwidth of its link; 0 if unknown.
    """

    address: str
    availability_zone: str = ""
    cache_tokens: int = 0
    link_mbps: float = 0.0


@attrs.frozen
class ServiceTraits:
    """A service that routes refer to.

    :param name: its name.
    :param max_connections: connections that one upstream accepts from all instances.
    :param engine: set for services of model engines.
    :param cache_store: set for a KV-cache store.
    """

    name: str
    max_connections: int = 0
    engine: EngineTraits | None = None
    cache_store: CacheStore | None = None


@attrs.frozen
class TeamQuota:
    """A team's rate limit over all instances.

    :param rate_per_s: requests or tokens per second.
    :param burst: requests or tokens allowed at once beyond that rate.
    :param is_token_based: whether tokens are counted instead of requests.
    :param default_tokens: tokens counted for a request that does not state its usage.
    """

    rate_per_s: float
    burst: float
    is_token_based: bool = False
    default_tokens: int = 0

    def cost(self, tokens: int | None) -> int:
        """Return the requests or tokens that a request counts for.

        :param tokens: the tokens that it states; ``None`` if it states none.
        """
        if not self.is_token_based:
            return 1
        return self.default_tokens if tokens is None else tokens


@attrs.frozen
class TeamTraits:
    """A team and its keys.

    :param name: its name.
    :param keys: keys that authenticate it.
    :param priority: overrides the priority of the route, if set.
    :param is_isolated: whether it shares no cached prompt parts with other teams.
    :param quota: its rate limit; ``None`` if unlimited.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    is_isolated: bool = False
    quota: TeamQuota | None = None


@attrs.frozen
class RouteTable:
    """One version of the configuration, indexed for lookups.

    :param version: increases with each change, not always by one.
    :param routes: all routes.
    :param services: all services.
    :param teams: all teams; if there are none, requests need no key.
    :param limits: limits on the size of requests and the time to send them.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceTraits, ...] = ()
    teams: tuple[TeamTraits, ...] = ()
    limits: RequestLimits = RequestLimits()
    _by_host: dict[str, tuple[Route, ...]] = attrs.field(init=False, eq=False)
    _by_key: dict[str, TeamTraits] = attrs.field(init=False, eq=False)
    _by_service: dict[str, ServiceTraits] = attrs.field(init=False, eq=False)
    _by_team: dict[str, TeamTraits] = attrs.field(init=False, eq=False)
    #: the KV-cache stores.
    cache_stores: tuple[CacheStore, ...] = attrs.field(init=False, eq=False)

    @_by_host.default
    def _index_hosts(self) -> dict[str, tuple[Route, ...]]:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        return {host: _longest_first(found) for host, found in hosts.items()}

    @_by_key.default
    def _index_keys(self) -> dict[str, TeamTraits]:
        return {key: team for team in self.teams for key in team.keys}

    @_by_service.default
    def _index_services(self) -> dict[str, ServiceTraits]:
        return {service.name: service for service in self.services}

    @_by_team.default
    def _index_teams(self) -> dict[str, TeamTraits]:
        return {team.name: team for team in self.teams}

    @cache_stores.default
    def _find_cache_stores(self) -> tuple[CacheStore, ...]:
        return tuple(s.cache_store for s in self.services if s.cache_store is not None)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` on ``host``."""
        name = host.rsplit(":", 1)[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def team_for_key(self, key: str) -> TeamTraits | None:
        """Return the team that ``key`` authenticates."""
        return self._by_key.get(key)

    def quota_of(self, team_name: str) -> TeamQuota | None:
        """Return a team's quota; ``None`` if it is unlimited or unknown."""
        team = self._by_team.get(team_name)
        return team.quota if team is not None else None

    def service(self, name: str) -> ServiceTraits | None:
        """Return the service called ``name``."""
        return self._by_service.get(name)


def _longest_first(routes: Iterable[Route]) -> tuple[Route, ...]:
    return tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
