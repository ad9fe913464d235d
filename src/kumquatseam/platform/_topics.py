"""What the operators and the upstreams write to the platform's store."""

from kumquatseam.logs import part_logger
from kumquatseam.logservice import KeyedListener, Learning
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

    def take(self, key: str, value: bytes, learning: Learning) -> bool:
        if not value:
            return False
        try:
            if key == _CONFIGURATION_KEY:
                self._live.apply(decode_route_table(value), "store")
            elif key.startswith(_WEIGHTS_PREFIX):
                self._take_weights(decode_weights(value), learning)
        except DecodingError as error:
            _log.bind(key=key, error=str(error)).error("Record ignored.")
        return True

    def _take_weights(self, named: WeightsNamed, learning: Learning) -> None:
        if learning.is_history:
            self._targets.take_known(named)
        else:
            self._targets.take(named)


class UpstreamListener(KeyedListener):
    """Keeps the directory in step with the upstreams' entries.

    :param directory: takes the entries.
    """

    def __init__(self, directory: UpstreamDirectory) -> None:
        self._directory = directory

    def take(self, key: str, value: bytes, learning: Learning) -> bool:
        if not value:
            return self._directory.remove(key, learning.outage_age_s)
        upstream = self._decode(key, value)
        return upstream is not None and self._directory.put(upstream)

    def note_synced(self) -> None:
        self._directory.note_listed()

    def _decode(self, key: str, value: bytes) -> Upstream | None:
        try:
            return decode_upstream(key, value)
        except DecodingError as error:
            _log.bind(upstream=key, error=str(error)).error("Entry ignored.")
            return None
