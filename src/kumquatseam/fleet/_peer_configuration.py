"""Taking the configuration from a peer while the log service is out of reach.

Heartbeats tell how much configuration is in force at each peer. A router
that has less than a peer (it just restarted during an outage, or only it is
cut off from the log) asks that peer, so an accepted configuration stays in
force at a router that restarts, and nothing accepted is ever taken back.
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
    configuration_of,
    snapshot_of,
)
from kumquatseam.instances import InstanceList, InstanceListError
from kumquatseam.logs import part_logger
from kumquatseam.request_reply import ask_once

_log = part_logger("config")

ASK_TIMEOUT_S = 1.0
#: how long a router that is ahead may stay so before it is asked; the log's
#: own answer usually comes first.
PATIENCE_S = 1.0
#: routers asked at most before a starting router accepts callers.
START_ASKS = 3


def ask_router(address: str, message: ControlMessage) -> ControlMessage | None:
    """Ask the router at ``address`` once."""
    return ask_once(address, CONTROL_CODEC, message, ASK_TIMEOUT_S)


class PeerConfigurationSync:
    """Keeps this router from falling behind its peers.

    :param live: the configuration in force here.
    :param membership: names the peers and what is in force there.
    :param clock: monotonic clock in seconds.
    :param ask: asks the router at an address.
    """

    def __init__(
        self,
        live: LiveConfiguration,
        membership: Membership,
        clock: Callable[[], float],
        ask: Callable[[str, ControlMessage], ControlMessage | None] = ask_router,
    ) -> None:
        self._live = live
        self._membership = membership
        self._clock = clock
        self._ask = ask
        self._behind_since_s: float | None = None

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the configuration in force here, for a peer that asks."""
        return snapshot_of(self._live.current, self._live.next_offset)

    def step(self) -> None:
        """Ask the peer furthest ahead once it has been so for a while."""
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
        if now_s - self._behind_since_s >= PATIENCE_S or not self._live.next_offset:
            furthest = max(ahead, key=lambda member: member.next_offset)
            self.take_from(furthest.address)

    def take_from(self, address: str) -> bool:
        """Put the configuration of the router at ``address`` in force.

        :returns: whether it was newer than the one here.
        """
        reply = self._ask(address, ConfigurationRequest())
        if not isinstance(reply, ConfigurationSnapshot):
            return False
        try:
            configuration = configuration_of(reply)
        except KumquatseamError as error:
            _log.warning("Cannot take the configuration of {}: {}.", address, error)
            return False
        if not self._live.advance(configuration, reply.next_offset):
            return False
        _log.info("In force offset={} from peer {}.", reply.next_offset - 1, address)
        return True


class PeerBootstrap:
    """Asks listed routers before callers are accepted, if the log is silent.

    Started after the follower and before the caller interface. A router that
    restarts during an outage of the log then begins on the configuration its
    peers have, not on its INI file.

    :param live: the configuration in force here.
    :param instances: lists the routers.
    :param configuration: asks them.
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
        """Ask a few routers, unless the log answered already."""
        if self._live.next_offset:
            return
        try:
            addresses = router_addresses(self._instances.read())
        except InstanceListError as error:
            _log.info("No peers known: {}.", error)
            return
        addresses.pop(self._own_name, None)
        for address in list(addresses.values())[:START_ASKS]:
            if self._configuration.take_from(address):
                return

    def close(self) -> None:
        """Nothing to close."""
