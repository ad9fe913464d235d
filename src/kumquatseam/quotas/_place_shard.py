"""The places of one brittle upstream, as one of its owners keeps them."""

import collections

import attrs

from kumquatseam.quotas._admission_window import AdmissionWindow
from kumquatseam.quotas._messages import (
    OwnerVote,
    PlaceCount,
    QuotaLeaseReply,
    QuotaLeaseRequest,
)
from kumquatseam.quotas._owned_shard import OwnedShard
from kumquatseam.quotas._place_queue import PlaceQueue

#: an instance that says nothing for this long has no requests there any more.
COUNT_TTL_S = 4.0
#: a second owner may count this many more than the first one allows: it is told of the
#: end of a request a moment later.
CONFIRMATION_MARGIN = 1
#: duration of a request while none has ended.
INITIAL_DURATION_S = 0.1
#: weight that earlier requests keep in the mean duration, with each that ends.
DURATION_DECAY = 0.95


@attrs.define
class _Sender:
    """What an owner knows of an instance.

    :param count: its newest count.
    :param at_s: when that arrived.
    :param granted: numbers of the requests granted to it that its count does not cover.
    """

    count: PlaceCount
    at_s: float
    granted: set[int] = attrs.Factory(set)

    @property
    def held(self) -> int:
        """The places that it holds."""
        return self.count.held + len(self.granted)


class PlaceShard(OwnedShard):
    """Grants places at a brittle upstream, which ends if it has to refuse many.

    :param now_s: the current time.
    """

    def __init__(self, now_s: float) -> None:
        super().__init__(now_s)
        #: the instances, the one that was silent for longest first.
        self._senders: collections.OrderedDict[str, _Sender] = collections.OrderedDict()
        #: the places that all of them hold.
        self._held = 0
        self._window = AdmissionWindow(now_s)
        self._queue = PlaceQueue()
        # Their quotient is the mean duration of a request.
        self._ended = 1.0
        self._held_total_s = INITIAL_DURATION_S
        self._observed_s = now_s

    def decide(
        self, request: QuotaLeaseRequest, now_s: float, charge_factor: int = 1
    ) -> QuotaLeaseReply:
        sender = self.note_count(request.places, now_s)
        if request.number in sender.granted:
            # The request came twice.
            return QuotaLeaseReply(request.number, request.needed)
        is_settled = request.number <= sender.count.settled_number
        if is_settled or not self._may_grant(request, now_s):
            return self._refuse(request, now_s)
        if request.vote is not OwnerVote.ALONE:
            # Otherwise its place was counted when this owner was asked first.
            sender.granted.add(request.number)
            self._held += 1
        return QuotaLeaseReply(request.number, request.needed)

    def refund(self, amount: float, now_s: float) -> None:
        """Do nothing: the count of an instance tells which places it holds."""

    def full_s(self, now_s: float) -> float:
        """Return the time until a place is expected to be free; 0 if one is."""
        self._drop_silent(now_s)
        closed_s = self._window.closed_s(now_s)
        if self._free - len(self._queue) > 0:
            return closed_s
        return closed_s + (len(self._queue) + 1) * self._free_interval_s

    def note_count(self, count: PlaceCount, now_s: float) -> _Sender:
        """Count the places that an instance holds, and what the upstream refused."""
        self.last_request_s = now_s
        self._drop_silent(now_s)
        self._window.set_upstream(count.slots, count.bearable_per_s)
        sender = self._senders.get(count.sender)
        if sender is None or sender.count.start != count.start:
            self._held += count.held - (sender.held if sender is not None else 0)
            sender = self._senders[count.sender] = _Sender(count, now_s)
            self._senders.move_to_end(count.sender)
        elif count.number > sender.count.number:
            self._apply(sender, count, now_s)
            self._senders.move_to_end(count.sender)
        self._window.note_running(self._held, now_s)
        return sender

    def _apply(self, sender: _Sender, count: PlaceCount, now_s: float) -> None:
        """Replace what is known of an instance by its newer count."""
        self._observe_durations(now_s)
        before, held_before = self._held, sender.held
        refused = max(0, count.refused - sender.count.refused)
        sender.granted = {n for n in sender.granted if n > count.settled_number}
        sender.count, sender.at_s = count, now_s
        self._held += sender.held - held_before
        freed = max(0, held_before - sender.held)
        self._note_ended(freed)
        completed = freed - refused
        if completed > 0:
            self._window.note_completed(completed, before, now_s)
        if refused:
            self._window.note_refused(refused, self._held, now_s)

    def _observe_durations(self, now_s: float) -> None:
        """Add up for how long places were held."""
        self._held_total_s += self._held * (now_s - self._observed_s)
        self._observed_s = now_s

    def _note_ended(self, count: int) -> None:
        self._ended += count
        self._ended *= DURATION_DECAY**count
        self._held_total_s *= DURATION_DECAY**count

    def _may_grant(self, request: QuotaLeaseRequest, now_s: float) -> bool:
        if self._window.closed_s(now_s):
            return False
        if request.vote is OwnerVote.ALONE:
            # No other owner could confirm the place, which is counted already.
            return self._held <= max(1, self._window.size // request.owner_count)
        if request.vote is OwnerVote.CONFIRMS:
            return self._free + CONFIRMATION_MARGIN > 0
        soon_s = now_s + self._free_interval_s
        return self._queue.may_take(request.key, self._free, now_s, soon_s)

    def _refuse(self, request: QuotaLeaseRequest, now_s: float) -> QuotaLeaseReply:
        """Refuse a place; the request may wait for one."""
        if not request.max_wait_ms:
            self._queue.leave(request.key)
            wait_ms = _milliseconds(max(self.full_s(now_s), self._free_interval_s))
            return QuotaLeaseReply(request.number, 0, wait_ms=wait_ms)
        due_s, is_waiting = self._queue.wait(
            request.key,
            self._free_interval_s,
            now_s + self._window.closed_s(now_s),
            now_s + request.max_wait_ms / 1000.0,
            now_s,
        )
        wait_ms = _milliseconds(due_s - now_s)
        return QuotaLeaseReply(
            request.number, 0, wait_ms=wait_ms, is_reserved=is_waiting
        )

    @property
    def _free(self) -> int:
        return self._window.size - self._held

    @property
    def _free_interval_s(self) -> float:
        """The expected time between two places that get free while all are held."""
        return self._held_total_s / self._ended / self._window.size

    def _drop_silent(self, now_s: float) -> None:
        """Drop instances that said nothing for long: they have ended or are cut off."""
        oldest_s = now_s - COUNT_TTL_S
        while self._senders:
            name, sender = next(iter(self._senders.items()))
            if sender.at_s >= oldest_s:
                return
            del self._senders[name]
            self._held -= sender.held


def _milliseconds(wait_s: float) -> int:
    """Round up, so that who waits as long as told is not too early."""
    return max(1, int(wait_s * 1000) + 1)
