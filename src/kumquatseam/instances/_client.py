"""Client of the platform's instance list over HTTP."""

import abc
import json

import attrs
import urllib3

from kumquatseam.errors import KumquatseamError
from kumquatseam.instances._instance import Instance

_OK = 200


@attrs.define(frozen=True, eq=False)
class InstanceListError(KumquatseamError):
    """The instance list did not answer.

    :param detail: how the call ended.
    """

    detail: str

    def __str__(self) -> str:
        return f"instances: no answer: {self.detail}"


class InstanceList(abc.ABC):
    """The platform's list; what it shows lags behind what is."""

    @abc.abstractmethod
    def read(self) -> tuple[Instance, ...]:
        """Return every listed instance.

        :raises InstanceListError: if the list did not answer.
        """

    @abc.abstractmethod
    def show(self, instance: Instance) -> None:
        """Show ``instance`` in the list, or keep it there.

        :raises InstanceListError: if the list did not answer.
        """


class HttpInstanceList(InstanceList):
    """The list at an HTTP address.

    :param url: base URL.
    :param timeout_s: timeout of a call.
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(retries=False, timeout=timeout_s)

    def read(self) -> tuple[Instance, ...]:
        answer = self._call("GET", "/instances")
        try:
            listed = json.loads(answer)["instances"]
            return tuple(Instance(**fields) for fields in listed)
        except (ValueError, KeyError, TypeError) as error:
            raise InstanceListError(f"unreadable answer: {error!r}") from error

    def show(self, instance: Instance) -> None:
        body = json.dumps(attrs.asdict(instance)).encode()
        self._call("PUT", f"/instances/{instance.name}", body)

    def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        try:
            response = self._pool.request(method, f"{self._url}{path}", body=body)
        except urllib3.exceptions.HTTPError as error:
            raise InstanceListError(repr(error)) from error
        if response.status != _OK:
            raise InstanceListError(f"HTTP {response.status}")
        return response.data
