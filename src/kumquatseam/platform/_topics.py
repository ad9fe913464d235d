"""What the operators and the upstreams write to the platform's store."""

from collections.abc import Callable

from kumquatseam.logs import part_logger
from kumquatseam.logservice import KeyedListener
from kumquatseam.platform._decoding import (
    DecodingError,
    decode_route_table,
    decode_upstream,
    decode_weights,
)
from kumquatseam.routes import LiveRouteTable
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsNamed,
    WeightsTargets,
)

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
_CONFIGURATION_KEY = "config"
_WEIGHTS_PREFIX = "version/"

_log = part_logger("platform")


class OperatorListener(KeyedListener):
    """Puts operators' records in force.

    :param live: takes configurations.
    :param targets: takes the weights named.
    """

    def __init__(self, live: LiveRouteTable, targets: WeightsTargets) -> None:
        self._live = live
        self._targets = targets

    def take_all(self, values: dict[str, bytes]) -> None:
        for key, value in values.items():
            self._take(key, value, self._targets.take_known)

    def take(self, key: str, value: bytes) -> None:
        if value:
            self._take(key, value, self._targets.take)

    def _take(
        self, key: str, value: bytes, on_weights: Callable[[WeightsNamed], None]
    ) -> None:
        try:
            if key == _CONFIGURATION_KEY:
                self._live.apply(decode_route_table(value), "store")
            elif key.startswith(_WEIGHTS_PREFIX):
                on_weights(decode_weights(value))
        except DecodingError as error:
            _log.bind(key=key, error=str(error)).error("Record ignored.")


class UpstreamListener(KeyedListener):
    """Keeps the directory in step with the upstreams' entries.

    :param directory: takes the entries.
    """

    def __init__(self, directory: UpstreamDirectory) -> None:
        self._directory = directory

    def take_all(self, values: dict[str, bytes]) -> None:
        found = (self._decode(key, value) for key, value in values.items())
        self._directory.replace_all(u for u in found if u is not None)

    def take(self, key: str, value: bytes) -> None:
        if not value:
            self._directory.remove(key)
            return
        upstream = self._decode(key, value)
        if upstream is not None:
            self._directory.put(upstream)

    def _decode(self, key: str, value: bytes) -> Upstream | None:
        try:
            return decode_upstream(key, value)
        except DecodingError as error:
            _log.bind(upstream=key, error=str(error)).error("Entry ignored.")
            return None
