"""Open connections to upstreams, directly or through another instance."""

import random
from collections.abc import Callable, Sequence

import gevent

from kumquatseam.http1 import (
    ConnectFailedError,
    Connector,
    UpstreamConnection,
    open_socket,
)
from kumquatseam.logs import part_logger
from kumquatseam.relays._client import RelayClient
from kumquatseam.relays._direct_path import DirectPath
from kumquatseam.relays._errors import NoRelayError

_log = part_logger("path")

#: interval of the checks of the path.
CHECK_INTERVAL_S = 0.4
PROBED_UPSTREAMS = 2
#: time until a probe has to be answered: connecting, and a response without work.
PROBE_TIMEOUT_S = 0.4
#: a request without an id, which every upstream refuses and none runs.
_PROBE = b"GET / HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"


class RelayingConnector(Connector):
    """Connects directly, and through another instance if the own path is lost.

    :param path: whether this instance has a path of its own.
    :param relays: opens tunnels through other instances.
    :param list_addresses: returns the addresses of the listed upstreams.
    """

    def __init__(
        self,
        path: DirectPath,
        relays: RelayClient,
        list_addresses: Callable[[], Sequence[str]],
    ) -> None:
        self._path = path
        self._relays = relays
        self._list_addresses = list_addresses

    def connect(self, address: str, timeout_s: float) -> UpstreamConnection:
        path = self._path
        if path.is_lost or (path.fails_to_connect and path.has_failed(address)):
            return self._connect_through_relay(address, timeout_s)
        try:
            return self._connect_directly(address, timeout_s)
        except ConnectFailedError:
            if not self._path.fails_to_connect:
                raise
        return self._connect_through_relay(address, timeout_s)

    def _connect_directly(self, address: str, timeout_s: float) -> UpstreamConnection:
        try:
            opened = open_socket(address, timeout_s)
        except ConnectFailedError:
            self._path.note_failed(address)
            raise
        return UpstreamConnection(address, opened, self._path)

    def _connect_through_relay(
        self, address: str, timeout_s: float
    ) -> UpstreamConnection:
        try:
            opened = self._relays.open(address, timeout_s)
        except NoRelayError as error:
            raise ConnectFailedError(
                address, str(error), is_upstream_fault=not self._path.is_suspect
            ) from error
        self._path.note_relayed()
        return UpstreamConnection(address, opened)

    def check(self) -> None:
        """Probe a few upstreams if the path is lost, or may be."""
        if not self._path.is_suspect:
            return
        addresses = list(self._list_addresses())
        sample = random.sample(addresses, min(PROBED_UPSTREAMS, len(addresses)))
        probes = [gevent.spawn(_answers, address) for address in sample]
        gevent.joinall(probes)
        if any(probe.value for probe in probes):
            self._path.note_probe_answered()
        elif sample and not self._path.is_lost:
            self._confirm_loss(sample[0])

    def _confirm_loss(self, address: str) -> None:
        """Check whether another instance reaches an upstream that stays silent here."""
        try:
            self._relays.open(address, PROBE_TIMEOUT_S).close()
        except (ConnectFailedError, NoRelayError) as error:
            _log.bind(error=str(error)).info("Path to the upstreams unclear.")
        else:
            self._path.note_relayed()


def _answers(address: str) -> bool:
    """Return whether an upstream sends anything back."""
    try:
        connection = open_socket(address, PROBE_TIMEOUT_S)
    except ConnectFailedError:
        return False
    try:
        connection.settimeout(PROBE_TIMEOUT_S)
        connection.sendall(_PROBE)
        return bool(connection.recv(1))
    except OSError as error:
        _log.bind(address=address, error=repr(error)).debug("Probe not answered.")
        return False
    finally:
        connection.close()
