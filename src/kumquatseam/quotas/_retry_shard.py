"""The retry budget of a service, as one of its owners keeps it."""

from collections.abc import Sequence

import attrs

from kumquatseam.gatewayfile import RetrySettings
from kumquatseam.peers import InstanceRecord
from kumquatseam.quotas._messages import (
    QuotaLeaseReply,
    QuotaLeaseRequest,
    QuotaShard,
    RetryHistory,
    ServiceCount,
)
from kumquatseam.quotas._owned_shard import OwnedShard
from kumquatseam.quotas._step_count import StepCount

#: steps of a window in which requests and retries are counted. A window is known to
#: one step, so more steps leave less of the budget unused and take longer to add up.
WINDOW_STEPS = 40
#: instances whose counts are kept; beyond that, those are dropped that sent none in the
#: past window.
MAX_COUNTED_INSTANCES = 512
#: time in which every instance that is up has sent its count several times. One that is
#: unknown after that has just started.
ALL_HEARD_S = 3.0


@attrs.define
class _Sender:
    """What an owner knows of an instance.

    :param count: its newest count.
    :param at_s: when that arrived.
    :param granted_s: when retries were granted that its count does not cover yet, by
        the numbers of the requests for them.
    """

    count: ServiceCount
    at_s: float
    granted_s: dict[int, float] = attrs.Factory(dict)


class RetryShard(OwnedShard):
    """Grants retries of the requests for one service.

    The retries of any window must not exceed a share of the requests, and the slack.
    The requests are those of the same window, of the one before it or of the one half
    a window before it, whichever has most.

    An owner that has counted for less than a window does not know what was granted
    before, so it has no say until it has adopted the history of all other owners. Any
    grant is known to one of them: it took the consent of two.

    :param settings: the share, the slack of the whole fleet and the window.
    :param shards: the number of shards that the budget is split into.
    :param now_s: the current time.
    :param is_unused: whether nothing can have been granted yet.
    """

    def __init__(
        self, settings: RetrySettings, shards: int, now_s: float, is_unused: bool
    ) -> None:
        super().__init__(now_s)
        self._settings = settings
        self._slack = settings.slack / shards
        self._known_since_s = float("-inf") if is_unused else now_s
        step_s = settings.window_s / WINDOW_STEPS
        self._step_s = step_s
        # An instance says how many requests it got since it said so last. They are
        # counted at the earliest and at the latest time at which they may have arrived,
        # so that a window counts only those that certainly belong to it.
        self._earliest = StepCount(step_s, 2 * WINDOW_STEPS + 1)
        self._latest = StepCount(step_s, 2 * WINDOW_STEPS + 1)
        self._retries = StepCount(step_s, WINDOW_STEPS + 1)
        self._senders: dict[str, _Sender] = {}
        #: since when unknown instances are new ones.
        self._all_heard_s = now_s if is_unused else now_s + ALL_HEARD_S
        self._owners: Sequence[InstanceRecord] = ()

    def is_sure(self, now_s: float) -> bool:
        """Return whether the grants of the past window are known."""
        return now_s - self._known_since_s >= self._settings.window_s

    def left(self, now_s: float, share: float = 1.0) -> float:
        """Return how many retries may be granted now.

        :param share: the share of the budget that may be used.
        """
        earliest = self._earliest.totals_by_age(now_s)
        latest = self._latest.totals_by_age(now_s)
        retries = self._retries.totals_by_age(now_s)
        half = WINDOW_STEPS // 2

        def count(first_age: int, last_age: int) -> float:
            """Count the requests that are certainly at least and at most so old."""
            younger = latest[last_age - 1] if last_age > 0 else 0.0
            return max(0.0, earliest[first_age] - younger)

        left = float("inf")
        # A window may begin at any time in the step with this age.
        for age in range(WINDOW_STEPS + 1):
            requests = max(
                count(age - 1, 0) if age else 0.0,
                count(age + half - 1, max(0, age - half + 1)),
                count(age + WINDOW_STEPS - 1, age + 1),
            )
            allowed = self._settings.ratio * requests + self._slack
            left = min(left, allowed * share - retries[age])
        return left

    def used_share(self, now_s: float) -> float:
        """Return how much of the budget of the past window is used."""
        retries = self._retries.totals_by_age(now_s)[-1]
        return retries / max(1.0, retries + self.left(now_s))

    def decide(
        self, request: QuotaLeaseRequest, now_s: float, charge_factor: int = 1
    ) -> QuotaLeaseReply:
        sender = self.note_count(request.count, now_s)
        if not self.is_sure(now_s):
            return QuotaLeaseReply(request.number, 0, is_unsure=True)
        if request.number in sender.granted_s:
            # The request came twice.
            return QuotaLeaseReply(request.number, request.needed)
        is_settled = request.number <= sender.count.settled_number
        if is_settled or self.left(now_s, request.max_share) < request.needed:
            wait_ms = int(self._step_s * 1000)
            return QuotaLeaseReply(request.number, 0, wait_ms=wait_ms)
        self._retries.add(request.needed, now_s, now_s)
        sender.granted_s[request.number] = now_s
        return QuotaLeaseReply(request.number, request.needed)

    def refund(self, amount: float, now_s: float) -> None:
        """Do nothing: the count of an instance tells which grants it used."""

    def note_owners(self, owners: Sequence[InstanceRecord], now_s: float) -> None:
        """Note the owners of this budget, as this instance sees them now.

        If most of them are new, the former ones may go on to grant elsewhere: an
        instance then knows too few of the others, or did so before.
        """
        if owners is self._owners:
            return
        names = {record.name for record in self._owners}
        kept = sum(record.name in names for record in owners)
        if kept <= len(names) // 2 and names:
            self._known_since_s = now_s
        self._owners = owners

    def note_count(self, count: ServiceCount, now_s: float) -> _Sender:
        """Count the requests and retries of an instance since its last count.

        The first count of a process says nothing about when its requests came.
        """
        self.last_request_s = now_s
        sender = self._senders.get(count.sender)
        if sender is None or sender.count.start != count.start:
            if sender is not None or now_s >= self._all_heard_s:
                self._retries.add(count.retries, now_s, now_s)
            sender = self._senders[count.sender] = _Sender(count, now_s)
            if len(self._senders) > MAX_COUNTED_INSTANCES:
                self._drop_old_senders(now_s)
            return sender
        added = count.requests - sender.count.requests
        if added < 0 or count.settled_number < sender.count.settled_number:
            # It was overtaken by a newer one.
            return sender
        self._earliest.add(added, sender.at_s, now_s)
        self._latest.add(added, now_s, now_s)
        self._settle(sender, count, now_s)
        sender.count, sender.at_s = count, now_s
        return sender

    def _settle(self, sender: _Sender, count: ServiceCount, now_s: float) -> None:
        """Replace what was granted to an instance by the retries that it sent."""
        sent = count.retries - sender.count.retries
        settled = [n for n in sender.granted_s if n <= count.settled_number]
        for position, number in enumerate(reversed(settled)):
            granted_s = sender.granted_s.pop(number)
            if position >= sent:
                self._retries.add(-1, granted_s, now_s)
        self._retries.add(max(0, sent - len(settled)), now_s, now_s)

    def resize(self, settings: RetrySettings, shards: int) -> None:
        """Apply another share and slack."""
        self._settings = settings
        self._slack = settings.slack / shards

    def history(self, shard: QuotaShard, now_s: float) -> RetryHistory:
        """Return what is known of the past window.

        :param shard: the part of the budget that this is.
        """
        return RetryHistory(
            shard,
            self._earliest.by_age(now_s),
            self._latest.by_age(now_s),
            self._retries.by_age(now_s),
        )

    def adopt(self, histories: Sequence[RetryHistory], now_s: float) -> None:
        """Adopt what all other owners know of the past window.

        This owner may know of the same requests and retries. Of the requests, only
        those that another one counted remain; retries may count twice.
        """
        if self.is_sure(now_s) or not histories:
            return
        self._known_since_s = now_s - self._settings.window_s
        for own, other in (
            (self._earliest, histories[0].earliest),
            (self._latest, histories[0].latest),
        ):
            own.clear()
            own.add_by_age(other, now_s)
        self._senders.clear()
        self._all_heard_s = now_s + ALL_HEARD_S
        by_owner = (history.retries for history in histories)
        retries = [max(counts) for counts in zip(*by_owner, strict=True)]
        self._retries.add_by_age(retries, now_s)

    def _drop_old_senders(self, now_s: float) -> None:
        oldest_s = now_s - self._settings.window_s
        for name, sender in list(self._senders.items()):
            if sender.at_s < oldest_s:
                del self._senders[name]
