"""Orders to engines, each with a fencing token from the log.

The sender holds the rollout lease. The fencing token is the offset of the lease
record in the log, so that an engine can refuse orders of an earlier holder.
"""

import abc
import json

import attrs
import urllib3

from kumquatseam.engines._client import EngineTarget
from kumquatseam.errors import KumquatseamError
from kumquatseam.pools import AddressPools
from kumquatseam.response_limits import ResponseLimits

_ACCEPTED = (200, 202)
#: size of a response, of which only the status is used.
_MAX_BYTES = 65_536


@attrs.frozen
class LoadOrder:
    """An order to run a version of a model's weights.

    :param model: the model's name.
    :param version: the weights version to load.
    :param adapters: the adapters to load with it.
    :param holder: the daemon that holds the rollout lease.
    :param fence: the lease's fencing token.
    :param expected_epoch: if set, the engine refuses the order if its epoch
        differs.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    holder: str
    fence: int
    expected_epoch: str | None = None


@attrs.frozen
class RoleOrder:
    """An order to change the engine's role.

    :param role: ``"serving"`` or ``"standby"``.
    :param holder: the daemon that holds the rollout lease.
    :param fence: the lease's fencing token.
    :param expected_epoch: if set, the engine refuses the order if its epoch
        differs.
    """

    role: str
    holder: str
    fence: int
    expected_epoch: str | None = None


EngineOrder = LoadOrder | RoleOrder
_OPERATIONS = {LoadOrder: "load", RoleOrder: "role"}


@attrs.define(frozen=True, eq=False)
class OrderRefusedError(KumquatseamError):
    """An engine refused an order and did not execute it.

    :param upstream: the engine's name.
    :param status: HTTP status: ``412`` for an old fencing token, ``409`` while
        another order is executed, ``421`` if the epoch differs.
    """

    upstream: str
    status: int

    def __str__(self) -> str:
        return f"engines: {self.upstream} refused the order: HTTP {self.status}"


@attrs.define(frozen=True, eq=False)
class OrderUnansweredError(KumquatseamError):
    """An order got no response, so the engine may execute it now, later or never.

    :param upstream: the engine's name.
    :param detail: how the connection failed.
    """

    upstream: str
    detail: str

    def __str__(self) -> str:
        return f"engines: no response from {self.upstream} to the order: {self.detail}"


class EngineOrderClient(abc.ABC):
    """Sends orders to engines."""

    def start(self) -> None:  # noqa: B027 - most open connections on demand
        """Prepare to be used."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close every idle connection."""

    @abc.abstractmethod
    def send(self, target: EngineTarget, order: EngineOrder) -> None:
        """Send an order and return once ``target`` has accepted it.

        :raises OrderRefusedError: if the engine refused the order.
        :raises OrderUnansweredError: if the engine did not respond.
        """


class HttpEngineOrderClient(EngineOrderClient):
    """Sends orders over HTTP, ``POST /v1/orders``.

    :param timeout_s: timeout of one order.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        # A late response to an earlier order would pass for the one to the next.
        self._pools = AddressPools(keeps_connections=False)

    def close(self) -> None:
        """Close every idle connection."""
        self._pools.close()

    def send(self, target: EngineTarget, order: EngineOrder) -> None:
        body = {"op": _OPERATIONS[type(order)], **attrs.asdict(order)}
        try:
            response = self._pools.request(
                "POST",
                target.url,
                "/v1/orders",
                ResponseLimits(_MAX_BYTES, self._timeout_s),
                timeout=self._timeout_s,
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
            )
        except urllib3.exceptions.HTTPError as error:
            raise OrderUnansweredError(target.name, repr(error)) from error
        if response.status not in _ACCEPTED:
            raise OrderRefusedError(target.name, response.status)
