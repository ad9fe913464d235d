"""Fetch the configuration from a peer while the log service is unreachable.

Heartbeats carry the offset up to which each peer's configuration is in force.
A router that is behind a peer, because it restarted during an outage of the
log or is itself partitioned from it, fetches the configuration from that
peer. An accepted configuration thus survives a router's restart and is never
reverted.
"""

from collections.abc import Callable

from kumquatseam.errors import KumquatseamError
from kumquatseam.fleet._live import LiveConfiguration
from kumquatseam.fleet._membership import DEAD, Membership, router_addresses
from kumquatseam.fleet._messages import (
    CONTROL_CODEC,
    ConfigurationRequest,
    ControlMessage,
)
from kumquatseam.fleet._records import (
    ConfigurationSnapshot,
    from_snapshot,
    to_snapshot,
)
from kumquatseam.instances import InstanceList, InstanceListError
from kumquatseam.logs import part_logger
from kumquatseam.request_reply import request_once

_log = part_logger("config")

QUERY_TIMEOUT_S = 1.0
#: how long this router may be behind a peer before it queries that peer; the
#: records usually arrive from the log first.
LAG_GRACE_S = 1.0
#: most routers queried before a starting router accepts callers.
MAX_BOOTSTRAP_QUERIES = 3


def query_router(address: str, message: ControlMessage) -> ControlMessage | None:
    """Send ``message`` to the router at ``address`` and return its reply, if any."""
    return request_once(address, CONTROL_CODEC, message, QUERY_TIMEOUT_S)


class PeerConfigurationSync:
    """Fetches the configuration from a peer that has a newer one.

    :param live: the configuration in force here.
    :param membership: the peers and their configuration offsets.
    :param clock: monotonic clock in seconds.
    :param query: sends a message to the router at an address and returns the reply.
    """

    def __init__(
        self,
        live: LiveConfiguration,
        membership: Membership,
        clock: Callable[[], float],
        query: Callable[[str, ControlMessage], ControlMessage | None] = query_router,
    ) -> None:
        self._live = live
        self._membership = membership
        self._clock = clock
        self._query = query
        self._behind_since_s: float | None = None

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the configuration in force here, to reply to a peer's request."""
        return to_snapshot(self._live.current, self._live.next_offset)

    def step(self) -> None:
        """Query the peer furthest ahead once this router has lagged for a while."""
        ahead = [
            member
            for member in self._membership.members()
            if member.state != DEAD and member.next_offset > self._live.next_offset
        ]
        if not ahead:
            self._behind_since_s = None
            return
        now_s = self._clock()
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if now_s - self._behind_since_s >= LAG_GRACE_S or not self._live.next_offset:
            furthest = max(ahead, key=lambda member: member.next_offset)
            self.fetch_from(furthest.address)

    def fetch_from(self, address: str) -> bool:
        """Fetch the configuration of the router at ``address`` and apply it.

        :returns: whether it was newer than the one here.
        """
        reply = self._query(address, ConfigurationRequest())
        if not isinstance(reply, ConfigurationSnapshot):
            return False
        try:
            configuration = from_snapshot(reply)
        except KumquatseamError as error:
            _log.warning(
                "Cannot decode the configuration from peer {}: {}.", address, error
            )
            return False
        if not self._live.advance(configuration, reply.next_offset):
            return False
        _log.info(
            "Configuration in force offset={} from peer {}.",
            reply.next_offset - 1,
            address,
        )
        return True


class PeerBootstrap:
    """Fetches the configuration from listed routers if the log did not answer.

    Start it after the follower and before the caller interface. A router that
    restarts during an outage of the log then serves with its peers'
    configuration instead of its INI file's.

    :param live: the configuration in force here.
    :param instances: the instance list, which names the routers.
    :param configuration: fetches the configuration from a router.
    :param own_name: this router's name.
    """

    def __init__(
        self,
        live: LiveConfiguration,
        instances: InstanceList,
        configuration: PeerConfigurationSync,
        own_name: str,
    ) -> None:
        self._live = live
        self._instances = instances
        self._configuration = configuration
        self._own_name = own_name

    def start(self) -> None:
        """Query a few routers, unless the log has already answered."""
        if self._live.next_offset:
            return
        try:
            addresses = router_addresses(self._instances.read())
        except InstanceListError as error:
            _log.info("Cannot read the instance list to find peers: {}.", error)
            return
        addresses.pop(self._own_name, None)
        for address in list(addresses.values())[:MAX_BOOTSTRAP_QUERIES]:
            if self._configuration.fetch_from(address):
                return

    def close(self) -> None:
        """Do nothing; there is nothing to close."""
