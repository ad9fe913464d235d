"""Granting retries from the budgets owned by this instance."""

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from kumquatseam.gatewayfile import RetrySettings
from kumquatseam.peers import InstanceRecord
from kumquatseam.quotas._messages import (
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaShard,
    QuotaUsageUpdate,
    RetryHistory,
)

if TYPE_CHECKING:
    from kumquatseam.quotas._retry_shard import RetryShard


class RetryAllocator:
    """Grants retries from the budgets owned by this instance.

    :param settings: the budget of each service.
    :param clock: monotonic clock in seconds.
    :param is_first_start: whether the whole fleet starts for the first time.
    """

    def __init__(
        self, settings: RetrySettings, clock: Callable[[], float], is_first_start: bool
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._is_first_start = is_first_start
        self._started_s = clock()
        self._shards: dict[QuotaShard, RetryShard] = {}

    def __len__(self) -> int:
        return len(self._shards)

    def apply_settings(self, settings: RetrySettings) -> None:
        """Apply changed settings; another window needs a new count."""
        if settings.window_s != self.settings.window_s:
            self._shards.clear()
        self.settings = settings
        for shard, owned in self._shards.items():
            owned.resize(settings, shard.count)

    def used_share(self) -> float:
        """Return how much of a budget owned by this instance is used, at most."""
        now_s = self._clock()
        shares = (owned.used_share(now_s) for owned in self._shards.values())
        return max(shares, default=0.0)

    def decide(self, request: QuotaLeaseRequest) -> QuotaLeaseReply:
        """Grant or refuse a retry."""
        return self._shard(request.shard).decide(request, self._clock())

    def apply_usage_update(self, update: QuotaUsageUpdate) -> None:
        """Count the requests and retries of an instance."""
        if update.count is not None:
            self._shard(update.shard).note_count(update.count, self._clock())

    def note_owners(self, shard: QuotaShard, owners: Sequence[InstanceRecord]) -> None:
        """Note the owners of a budget, as this instance sees them now."""
        owned = self._shards.get(shard)
        if owned is not None:
            owned.note_owners(owners, self._clock())

    def is_sure(self, shard: QuotaShard) -> bool:
        """Return whether the grants of the past window are known."""
        owned = self._shards.get(shard)
        return owned is not None and owned.is_sure(self._clock())

    def history(self, shard: QuotaShard) -> RetryHistory | None:
        """Return what this instance knows of a budget; ``None`` if it is not sure."""
        if not self.is_sure(shard):
            return None
        return self._shards[shard].history(shard, self._clock())

    def adopt(self, shard: QuotaShard, histories: Sequence[RetryHistory]) -> None:
        """Adopt what all other owners of a budget know of it."""
        owned = self._shards.get(shard)
        if owned is not None:
            owned.adopt(histories, self._clock())

    def _shard(self, shard: QuotaShard) -> "RetryShard":
        owned = self._shards.get(shard)
        if owned is None:
            from kumquatseam.quotas._retry_shard import RetryShard

            now_s = self._clock()
            up_s = now_s - self._started_s
            # Before the first window of a new fleet has passed, no owner has changed.
            is_unused = self._is_first_start and up_s < self.settings.window_s
            owned = self._shards[shard] = RetryShard(
                self.settings, shard.count, now_s, is_unused
            )
        return owned
