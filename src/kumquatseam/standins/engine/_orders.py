"""How the stand-in engine takes orders to load weights or change role."""

import attrs
import gevent
import urllib3

from kumquatseam.engines import SERVING, ModelVersion
from kumquatseam.logs import part_logger

_log = part_logger("engine")
_ACCEPTED = 202
_HOLDS_ALREADY = 200
_BUSY = 409
_OLD_FENCE = 412
_OTHER_LIFE = 421
_PAUSE_S = 0.1


@attrs.frozen
class CarriedOutOrder:
    """An order the engine carried out, for tests.

    :param model: the model loaded.
    :param version: its version.
    :param holder: who gave the order.
    :param fence: under which fencing token.
    """

    model: str
    version: str
    holder: str
    fence: int


class EngineOrders:
    """The weights and role an engine has and the orders that change them.

    :param epoch: the engine's life.
    :param versions: ``model=version`` each.
    :param checks_fences: refuse orders under an old fencing token.
    :param load_s: real seconds a load takes.
    :param weights_url: the weight store, or empty.
    :param on_loaded: called when weights changed.
    """

    def __init__(
        self, epoch, versions, checks_fences, load_s, weights_url, on_loaded
    ) -> None:
        self._epoch = epoch
        self.versions = dict(v.split("=", 1) for v in versions)
        self._checks_fences = checks_fences
        self._load_s = load_s
        self._weights_url = weights_url
        self._on_loaded = on_loaded
        self._highest_fence = -1
        self.adapters: dict[str, tuple[str, ...]] = {}
        self.role = SERVING
        self.busy = False
        self.carried_out: list[CarriedOutOrder] = []
        self.refused_fences = 0

    def take(self, order: dict) -> int:
        """Return the status for an order, beginning to carry it out on 202."""
        if order.get("expected_epoch") not in (None, self._epoch):
            return _OTHER_LIFE
        fence = int(order["fence"])
        if self._checks_fences and fence < self._highest_fence:
            self.refused_fences += 1
            return _OLD_FENCE
        self._highest_fence = max(fence, self._highest_fence)
        if order["op"] == "role":
            self.role = order["role"]
            return _HOLDS_ALREADY
        if self._holds(order):
            return _HOLDS_ALREADY
        if self.busy:
            return _BUSY
        self.busy = True
        gevent.spawn(self._carry_out, order, fence)
        return _ACCEPTED

    def named_models(self) -> tuple[ModelVersion, ...]:
        """Return the weights it runs, as it names them in reports."""
        return tuple(
            ModelVersion(model, version, self.adapters.get(model, ()))
            for model, version in self.versions.items()
        )

    def _holds(self, order: dict) -> bool:
        model = order["model"]
        same_adapters = self.adapters.get(model, ()) == tuple(order["adapters"])
        return self.versions.get(model) == order["version"] and same_adapters

    def _carry_out(self, order: dict, fence: int) -> None:
        model, version = order["model"], order["version"]
        try:
            self._fetch(model, version)
            gevent.sleep(self._load_s)
            self.versions[model] = version
            self.adapters[model] = tuple(order["adapters"])
            self.carried_out.append(
                CarriedOutOrder(model, version, order["holder"], fence)
            )
            self._on_loaded()
            _log.info("Loaded model={} version={} fence={}.", model, version, fence)
        finally:
            self.busy = False

    def _fetch(self, model: str, version: str) -> None:
        """Fetch the weights, waiting while the weight store turns us away."""
        if not self._weights_url:
            return
        http = urllib3.PoolManager(retries=False, timeout=10.0)
        url = f"{self._weights_url}/weights/{model}/{version}"
        while http.request("GET", url).status != 200:
            gevent.sleep(_PAUSE_S)
