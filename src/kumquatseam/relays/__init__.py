"""Reaching upstreams through other instances.

An instance can lose its path to all upstreams while its callers and the other instances
still reach it. Its connections to upstreams are then tunnelled through one of the other
instances (HTTP ``CONNECT``). Everything else stays where it is: the instance that took
the request decides, retries and counts; the other one copies bytes.

- :class:`RelayServer` opens tunnels for other instances.
- :class:`kumquatseam.relays.client.RelayClient` opens a tunnel through another
  instance. It is not exported here, since few instances need it.
- :class:`kumquatseam.relays.traffic.TunnelTraffic` decides on the requests that are
  carried; few instances carry any.
- :class:`DirectPath` tells whether this instance has lost its path to the upstreams.
- :class:`RelayingConnector` opens connections to upstreams, either way.
"""

from kumquatseam.relays._connector import RelayingConnector
from kumquatseam.relays._direct_path import DirectPath
from kumquatseam.relays._errors import NoRelayError
from kumquatseam.relays._server import RelayServer

__all__ = [
    "DirectPath",
    "NoRelayError",
    "RelayServer",
    "RelayingConnector",
]
