"""The engines and stores that hold cached prompt parts."""

from kumquatseam.cachefeeds import CacheHolder
from kumquatseam.routes import RouteTable
from kumquatseam.upstreams import UpstreamDirectory


def cache_holders(
    table: RouteTable | None, directory: UpstreamDirectory
) -> list[CacheHolder]:
    """Return all engines in use and all stores.

    :param table: the configuration in force, if any.
    :param directory: the listed upstreams.
    """
    if table is None:
        return []
    stores = [
        CacheHolder(s.address, s.address, capacity_tokens=s.cache_tokens)
        for s in table.cache_stores
    ]
    engines = [
        CacheHolder(
            status.upstream.incarnation_id,
            status.upstream.address,
            status.upstream.upstream_id,
            status.upstream.born_ms,
            service.engine.cache_tokens,
        )
        for service in table.services
        if service.engine is not None
        for status in directory.of_service(service.name)
    ]
    return [*engines, *stores]
