"""Listeners of the topics that operators and upstreams write."""

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

#: unreadable entries that are logged, so that a flood of them is bounded.
MAX_UNREADABLE_KEYS = 1024
#: maximum characters of a key in a log line.
MAX_LOGGED_KEY_CHARS = 80

_log = part_logger("platform")


class OperatorListener(KeyedListener):
    """Applies operators' records.

    :param live: receives configurations.
    :param targets: receives the target weights.
    """

    def __init__(self, live: LiveRouteTable, targets: WeightsTargets) -> None:
        self._live = live
        self._targets = targets

    def apply(self, key: str, value: bytes, change_context: ChangeContext) -> bool:
        if not value:
            return False
        try:
            if key == _CONFIGURATION_KEY:
                is_newer = self._live.apply(decode_route_table(value), "store")
                # After a restore of the log, an older configuration is not a change.
                return is_newer or not change_context.is_restored
            elif key.startswith(_WEIGHTS_PREFIX):
                self._apply_weights(decode_weights(value), change_context)
        except DecodingError as error:
            _log.bind(key=key, error=str(error)).error("Record ignored.")
        return True

    def _apply_weights(
        self, named: WeightsVersion, change_context: ChangeContext
    ) -> None:
        if change_context.is_initial:
            self._targets.add_with_unknown_age(named)
        else:
            self._targets.add_new(named, change_context.unseen_s)


class UpstreamListener(KeyedListener):
    """Keeps the directory in sync with the upstreams' entries.

    :param directory: receives the entries.
    """

    def __init__(self, directory: UpstreamDirectory) -> None:
        self._directory = directory
        self._unreadable_keys: set[str] = set()

    def apply(self, key: str, value: bytes, change_context: ChangeContext) -> bool:
        if not value:
            self._unreadable_keys.discard(key)
            return self._directory.remove(key, change_context.outage_age_s)
        try:
            upstream = decode_upstream(key, value)
        except DecodingError as error:
            self._log_unreadable(key, error)
            return self._directory.mark_unreadable(key)
        self._unreadable_keys.discard(key)
        return self._directory.put(upstream, change_context.is_restored)

    def note_synced(self) -> None:
        self._directory.confirm_entries()

    def _log_unreadable(self, key: str, error: DecodingError) -> None:
        """Log an unreadable entry once, not at each rewrite."""
        if (
            key in self._unreadable_keys
            or len(self._unreadable_keys) > MAX_UNREADABLE_KEYS
        ):
            return
        self._unreadable_keys.add(key)
        _log.bind(upstream=key[:MAX_LOGGED_KEY_CHARS], error=str(error)).error(
            "Entry ignored."
        )
        if len(self._unreadable_keys) > MAX_UNREADABLE_KEYS:
            _log.error("Too many unreadable entries; further ones are not logged.")
