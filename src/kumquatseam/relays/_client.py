"""Open a tunnel to an upstream through another instance."""

import random
import time
from collections.abc import Callable, Sequence

from kumquatseam.http1 import ConnectFailedError, TransportDecoder, open_socket
from kumquatseam.logs import part_logger
from kumquatseam.peers import InstanceRecord, UnresponsivePeers
from kumquatseam.relays._errors import NoRelayError
from kumquatseam.relays._head import (
    CHUNKED,
    CODING_HEADER,
    ConnectHead,
    HeadError,
    read_head,
)

_log = part_logger("relay")

#: instances asked for one tunnel.
MAX_TRIED = 3
#: instances that are preferred for further tunnels: enough to spread them, few enough
#: to be reached for sure.
MAX_PREFERRED = 4
#: share of the remaining time that one instance may take.
TIMEOUT_SHARE = 0.5
_OPENED = 200
_UPSTREAM_FAILED = 502


class RelayClient:
    """Opens tunnels through other instances, chosen at random.

    Instances that opened one are asked first, and one in a few times another one, so
    that a fleet's tunnels spread over all instances that have a path. Those that
    refused are skipped for a while.

    :param name: this instance.
    :param list_instances: returns the instances that may be asked.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        name: str,
        list_instances: Callable[[], Sequence[InstanceRecord]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._list_instances = list_instances
        self._clock = clock
        self._skipped = UnresponsivePeers(clock)
        self._preferred: list[str] = []
        self.opened = 0
        self.failed = 0

    def check(self, address: str, timeout_s: float) -> None:
        """Check whether another instance can connect to an upstream.

        :raises ConnectFailedError: if another instance could not connect either.
        :raises NoRelayError: if no instance replied that has a path.
        """
        opened, _ = self.open(address, timeout_s)
        opened.close()

    def open(self, address: str, timeout_s: float) -> tuple[object, TransportDecoder]:
        """Return a socket that leads to an upstream, and the decoder of its bytes.

        :param address: the upstream's ``host:port``.
        :raises ConnectFailedError: if another instance could not connect either.
        :raises NoRelayError: if no instance replied that has a path.
        """
        end_s = self._clock() + timeout_s
        tried = []
        for record in self._candidates():
            left_s = end_s - self._clock()
            if left_s <= 0:
                break
            try:
                opened, head = self._ask(record, address, left_s * TIMEOUT_SHARE)
            except (ConnectFailedError, HeadError) as error:
                self._note_failure(record, str(error), tried)
                continue
            if opened is not None:
                self._note_success(record)
                return opened, _decoder(head)
            if head.status == _UPSTREAM_FAILED:
                self._note_success(record)
                detail = f"{record.name} cannot connect either"
                raise ConnectFailedError(address, detail)
            self._note_failure(record, f"status {head.status}", tried)
        self.failed += 1
        raise NoRelayError(address, tuple(tried))

    def _candidates(self) -> list[InstanceRecord]:
        """Return the instances to ask, in order."""
        known = {
            record.name: record
            for record in self._list_instances()
            if record.relay_address
            and record.name != self._name
            and not self._skipped.is_skipped(record.name)
        }
        self._preferred = [name for name in self._preferred if name in known]
        preferred = random.sample(self._preferred, len(self._preferred))
        others = [name for name in known if name not in self._preferred]
        new = random.sample(others, min(MAX_TRIED, len(others)))
        if new and len(preferred) < MAX_PREFERRED:
            names = new[:1] + preferred + new[1:]
        else:
            names = preferred + new
        return [known[name] for name in names[:MAX_TRIED]]

    def _ask(self, record: InstanceRecord, address: str, timeout_s: float):
        """Ask one instance; return the socket or ``None``, and the reply's head."""
        connection = open_socket(record.relay_address, timeout_s)
        is_opened = False
        try:
            lines = (
                f"CONNECT {address} HTTP/1.1",
                f"Host: {address}",
                f"{CODING_HEADER}: {CHUNKED}",
            )
            connection.sendall("\r\n".join((*lines, "", "")).encode())
            head = ConnectHead(read_head(connection, timeout_s), is_request=False)
            is_opened = head.status == _OPENED
            return (connection if is_opened else None), head
        except OSError as error:
            raise ConnectFailedError(record.relay_address, repr(error)) from error
        finally:
            if not is_opened:
                connection.close()

    def _note_success(self, record: InstanceRecord) -> None:
        self.opened += 1
        self._skipped.note_reply(record.name)
        if record.name not in self._preferred and len(self._preferred) < MAX_PREFERRED:
            self._preferred.append(record.name)

    def _note_failure(
        self, record: InstanceRecord, reason: str, tried: list[str]
    ) -> None:
        tried.append(f"{record.name}: {reason}")
        for_s = self._skipped.note_timeout(record.name)
        if record.name in self._preferred:
            self._preferred.remove(record.name)
        _log.bind(peer=record.name, reason=reason, for_s=for_s).info(
            "Instance opened no tunnel."
        )


def _decoder(head: ConnectHead) -> TransportDecoder:
    """Return the decoder of a tunnel; loaded with the first one."""
    from kumquatseam.relays._coding import ChunkedDecoder, OpaqueDecoder

    is_coded = head.header(CODING_HEADER) == CHUNKED
    return ChunkedDecoder() if is_coded else OpaqueDecoder()
