"""What the operators and the upstreams write to the platform's store."""

from kumquatseam.logs import part_logger
from kumquatseam.logservice import ChangeContext, KeyedListener
from kumquatseam.platform._entries import decode_upstream
from kumquatseam.platform._records import decode_route_table, decode_weights
from kumquatseam.platform._values import DecodingError
from kumquatseam.routes import LiveRouteTable
from kumquatseam.upstreams import (
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
_CONFIGURATION_KEY = "config"
_WEIGHTS_PREFIX = "version/"

#: unreadable entries logged; a list of rubbish costs no more.
MAX_UNREADABLE_KEYS = 1024
#: characters of a key that a log line shows.
MAX_KEY_LOGGED = 80

_log = part_logger("platform")


class OperatorListener(KeyedListener):
    """Puts operators' records in force.

    :param live: takes configurations.
    :param targets: takes the weights named.
    """

    def __init__(self, live: LiveRouteTable, targets: WeightsTargets) -> None:
        self._live = live
        self._targets = targets

    def take(self, key: str, value: bytes, change_context: ChangeContext) -> bool:
        if not value:
            return False
        try:
            if key == _CONFIGURATION_KEY:
                is_newer = self._live.apply(decode_route_table(value), "store")
                # After a return from a copy an older one is no news to anyone.
                return is_newer or not change_context.is_restored
            elif key.startswith(_WEIGHTS_PREFIX):
                self._take_weights(decode_weights(value), change_context)
        except DecodingError as error:
            _log.bind(key=key, error=str(error)).error("Record ignored.")
        return True

    def _take_weights(
        self, named: WeightsVersion, change_context: ChangeContext
    ) -> None:
        if change_context.is_initial:
            self._targets.add_with_unknown_age(named)
        else:
            self._targets.add_new(named, change_context.unseen_s)


class UpstreamListener(KeyedListener):
    """Keeps the directory in step with the upstreams' entries.

    :param directory: takes the entries.
    """

    def __init__(self, directory: UpstreamDirectory) -> None:
        self._directory = directory
        self._unreadable: set[str] = set()

    def take(self, key: str, value: bytes, change_context: ChangeContext) -> bool:
        if not value:
            self._unreadable.discard(key)
            return self._directory.remove(key, change_context.outage_age_s)
        try:
            upstream = decode_upstream(key, value)
        except DecodingError as error:
            self._note_unreadable(key, error)
            return self._directory.mark_unreadable(key)
        self._unreadable.discard(key)
        return self._directory.put(upstream)

    def note_synced(self) -> None:
        self._directory.confirm_entries()

    def _note_unreadable(self, key: str, error: DecodingError) -> None:
        """Log an entry that turned unreadable once, not at each rewrite."""
        if key in self._unreadable or len(self._unreadable) > MAX_UNREADABLE_KEYS:
            return
        self._unreadable.add(key)
        _log.bind(upstream=key[:MAX_KEY_LOGGED], error=str(error)).error(
            "Entry ignored."
        )
        if len(self._unreadable) > MAX_UNREADABLE_KEYS:
            _log.error("Further entries that cannot be read are not logged.")
