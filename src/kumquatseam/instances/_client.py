"""HTTP client of the platform's instance list."""

import abc
import json

import attrs
import urllib3

from kumquatseam.errors import KumquatseamError
from kumquatseam.instances._instance import Instance
from kumquatseam.logs import part_logger
from kumquatseam.pools import AddressPools
from kumquatseam.response_limits import ResponseLimits

_log = part_logger("instances")

_OK = 200
#: size of the list: some ten thousand instances.
_MAX_BYTES = 4_194_304
#: time for a whole response, in multiples of the timeout of each of its pieces.
_TOTAL_TIMEOUTS = 5


@attrs.define(frozen=True, eq=False)
class InstanceListError(KumquatseamError):
    """A call to the instance list failed.

    :param detail: the cause, such as a timeout or an HTTP status.
    """

    detail: str

    def __str__(self) -> str:
        return f"instances: call to the instance list failed: {self.detail}"


class InstanceList(abc.ABC):
    """The platform's instance list, which lags behind the actual state."""

    @abc.abstractmethod
    def read(self) -> tuple[Instance, ...]:
        """Return every listed instance.

        :raises InstanceListError: if the call failed.
        """

    @abc.abstractmethod
    def register(self, instance: Instance) -> None:
        """Add ``instance`` to the list, or renew its entry.

        :raises InstanceListError: if the call failed.
        """


class HttpInstanceList(InstanceList):
    """The instance list of an HTTP server.

    :param url: base URL.
    :param timeout_s: timeout of each piece of a response.
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._limits = ResponseLimits(_MAX_BYTES, _TOTAL_TIMEOUTS * timeout_s)
        self._pools = AddressPools()
        self._odd_count = 0

    def read(self) -> tuple[Instance, ...]:
        reply = self._call("GET", "/instances")
        try:
            listed = [_instance(fields) for fields in json.loads(reply)["instances"]]
        except (ValueError, LookupError, TypeError, RecursionError) as error:
            detail = f"cannot decode the reply: {error!r}"[:400]
            raise InstanceListError(detail) from error
        found = tuple(instance for instance in listed if instance is not None)
        odd_count = len(listed) - len(found)
        if odd_count > self._odd_count:
            _log.bind(entries=odd_count).warning("Odd entries in the list skipped.")
        self._odd_count = odd_count
        return found

    def register(self, instance: Instance) -> None:
        body = json.dumps(attrs.asdict(instance)).encode()
        self._call("PUT", f"/instances/{instance.name}", body)

    def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        try:
            response = self._pools.request(
                method,
                self._url,
                path,
                self._limits,
                body=body,
                timeout=self._timeout_s,
            )
        except urllib3.exceptions.HTTPError as error:
            raise InstanceListError(repr(error)) from error
        if response.status != _OK:
            raise InstanceListError(f"HTTP {response.status}")
        return response.data


def _instance(fields: dict[str, str]) -> Instance | None:
    """Return an entry; ``None`` if it is invalid, so that others can be used."""
    try:
        for value in fields.values():
            value.encode()
        return Instance(**fields)
    except (UnicodeEncodeError, AttributeError, TypeError):
        return None
