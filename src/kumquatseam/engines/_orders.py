"""Orders to engines, each under a fencing token from the log."""

import abc
import json

import attrs
import urllib3

from kumquatseam.engines._client import EngineTarget
from kumquatseam.errors import KumquatseamError

_ACCEPTED = (200, 202)


@attrs.frozen
class LoadOrder:
    """An order to run a version of a model's weights.

    :param model: the model's name.
    :param version: the weights version to load.
    :param adapters: the adapters to load with it.
    :param holder: the daemon that holds the duty.
    :param fence: the duty's fencing token: the offset of its lease record.
    :param expected_epoch: the engine's life the order is meant for.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    holder: str
    fence: int
    expected_epoch: str | None = None


@attrs.frozen
class RoleOrder:
    """An order to change role.

    :param role: ``"serving"`` or ``"standby"``.
    :param holder: the daemon that holds the duty.
    :param fence: the duty's fencing token.
    :param expected_epoch: the engine's life the order is meant for.
    """

    role: str
    holder: str
    fence: int
    expected_epoch: str | None = None


EngineOrder = LoadOrder | RoleOrder
_OPERATIONS = {LoadOrder: "load", RoleOrder: "role"}


@attrs.define(frozen=True, eq=False)
class OrderRefusedError(KumquatseamError):
    """An engine refused an order and did not carry it out.

    :param upstream: the engine's name.
    :param status: ``412`` for an old fencing token, ``409`` while another
        order is carried out, ``421`` for another life.
    """

    upstream: str
    status: int

    def __str__(self) -> str:
        return f"engines: {self.upstream} refused the order: {self.status}"


@attrs.define(frozen=True, eq=False)
class OrderUnansweredError(KumquatseamError):
    """An order got no answer: it may be carried out, now or later.

    :param upstream: the engine's name.
    :param detail: how the connection ended.
    """

    upstream: str
    detail: str

    def __str__(self) -> str:
        return f"engines: {self.upstream} left the order unanswered: {self.detail}"


class EngineOrderClient(abc.ABC):
    """Gives engines orders."""

    @abc.abstractmethod
    def send(self, target: EngineTarget, order: EngineOrder) -> None:
        """Give ``target`` an order; returns once it accepted.

        :raises OrderRefusedError: if it refused.
        :raises OrderUnansweredError: if it did not answer.
        """


class HttpEngineOrderClient(EngineOrderClient):
    """Gives orders over HTTP, ``POST /v1/orders``.

    :param timeout_s: timeout of one order.
    """

    def __init__(self, timeout_s: float) -> None:
        self._pool = urllib3.PoolManager(retries=False, timeout=timeout_s)

    def send(self, target: EngineTarget, order: EngineOrder) -> None:
        body = {"op": _OPERATIONS[type(order)], **attrs.asdict(order)}
        try:
            response = self._pool.request(
                "POST",
                f"{target.url}/v1/orders",
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
            )
        except urllib3.exceptions.HTTPError as error:
            raise OrderUnansweredError(target.name, repr(error)) from error
        if response.status not in _ACCEPTED:
            raise OrderRefusedError(target.name, response.status)
