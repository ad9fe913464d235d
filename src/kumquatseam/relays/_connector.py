"""Open connections to upstreams, directly or through another instance."""

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import gevent

from kumquatseam.http1 import (
    ConnectFailedError,
    Connector,
    UpstreamConnection,
    open_socket,
)
from kumquatseam.logs import part_logger
from kumquatseam.relays._direct_path import DirectPath
from kumquatseam.relays._errors import NoRelayError

if TYPE_CHECKING:
    from kumquatseam.relays._client import RelayClient

_log = part_logger("path")

#: interval of the checks of the path, and of those while it is lost.
CHECK_INTERVAL_S = 0.1
LOST_CHECK_INTERVAL_S = 0.4
PROBED_UPSTREAMS = 2
#: time until a probe has to be answered: connecting, and a response without work.
PROBE_TIMEOUT_S = 0.4
#: a request without an id, which every upstream refuses and none runs.
_PROBE = b"GET / HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"


class RelayingConnector(Connector):
    """Connects directly, and through another instance if the own path is lost.

    :param path: whether this instance has a path of its own.
    :param load_relays: returns what opens tunnels through other instances.
    :param list_addresses: returns the addresses of the listed upstreams.
    """

    def __init__(
        self,
        path: DirectPath,
        load_relays: Callable[[], "RelayClient"],
        list_addresses: Callable[[], Sequence[str]],
    ) -> None:
        self._path = path
        self._load_relays = load_relays
        self._list_addresses = list_addresses
        self._probing: gevent.Greenlet | None = None

    def connect(self, address: str, timeout_s: float) -> UpstreamConnection:
        path = self._path
        if path.is_lost:
            return self._connect_through_relay(address, timeout_s)
        if path.has_failed(address) and path.fails_to_connect and not self._answered():
            return self._connect_through_relay(address, timeout_s)
        try:
            return self._connect_directly(address, timeout_s)
        except ConnectFailedError:
            if not path.fails_to_connect or self._answered():
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
            opened, decoder = self._load_relays().open(address, timeout_s)
        except NoRelayError as error:
            raise ConnectFailedError(
                address, str(error), is_upstream_fault=not self._path.is_suspect
            ) from error
        self._path.note_relayed()
        return UpstreamConnection(address, opened, decoder=decoder)

    def next_check_s(self) -> float:
        """Return the time until the next check of the path."""
        return LOST_CHECK_INTERVAL_S if self._path.is_lost else CHECK_INTERVAL_S

    def check(self) -> None:
        """Probe a few upstreams if the path is lost, or may be."""
        if not self._path.is_suspect and not self._path.is_quiet:
            return
        if not self._answered() and self._path.is_silent and not self._path.is_lost:
            addresses = self._list_addresses()
            if addresses:
                self._confirm_loss(random.choice(addresses))

    def _answered(self) -> bool:
        """Probe a few upstreams directly; return whether any responded.

        Tells a lost path from upstreams that ended while all others, of which nothing
        is known, have connections already. Concurrent calls share one round of probes.
        """
        if self._probing is None:
            self._probing = gevent.spawn(self._probe_some)
            self._probing.link(self._end_probing)
        return bool(self._probing.get())

    def _probe_some(self) -> bool:
        addresses = list(self._list_addresses())
        random.shuffle(addresses)
        # Those that did not fail before are more likely to respond.
        addresses.sort(key=self._path.has_failed)
        probes = [gevent.spawn(_answers, a) for a in addresses[:PROBED_UPSTREAMS]]
        gevent.joinall(probes)
        is_answered = any(probe.value for probe in probes)
        if is_answered:
            self._path.note_probe_answered()
        return is_answered

    def _end_probing(self, _) -> None:
        self._probing = None

    def _confirm_loss(self, address: str) -> None:
        """Check whether another instance reaches an upstream that stays silent here."""
        try:
            self._load_relays().check(address, PROBE_TIMEOUT_S)
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
