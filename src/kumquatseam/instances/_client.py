"""HTTP client of the platform's instance list."""

import abc
import json

import attrs
import urllib3

from kumquatseam.errors import KumquatseamError
from kumquatseam.instances._instance import Instance
from kumquatseam.pools import AddressPools
from kumquatseam.response_limits import ResponseLimits

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

    def read(self) -> tuple[Instance, ...]:
        reply = self._call("GET", "/instances")
        try:
            listed = json.loads(reply)["instances"]
            return tuple(Instance(**fields) for fields in listed)
        except (ValueError, KeyError, TypeError) as error:
            raise InstanceListError(f"cannot decode the reply: {error!r}") from error

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
