"""Taking what requests need from their teams' quotas."""

import time
from collections.abc import Callable, Sequence

import attrs
import gevent.event
import xxhash

from kumquatseam.admission import TokenBucket
from kumquatseam.logs import part_logger
from kumquatseam.peers import (
    DatagramCalls,
    DatagramLink,
    InstanceRecord,
    RendezvousOrder,
)
from kumquatseam.quotas._errors import QuotaExceededError
from kumquatseam.quotas._keeper import LEASE_S, QuotaKeeper
from kumquatseam.quotas._messages import (
    LimitInForce,
    QuotaAnswer,
    QuotaQuestion,
    QuotaReturned,
    QuotaShard,
    QuotaSpent,
    QuotaTolerance,
)
from kumquatseam.routes import RouteTable, TeamTraits

_log = part_logger("quota")

#: instances that ask one keeper at most; a larger fleet divides its quotas, so
#: that what a keeper is asked does not grow with the fleet.
INSTANCES_PER_KEEPER = 200
#: parts of a divided quota that are asked before a request is refused: one part
#: may be used up while others are not.
SHARDS_ASKED = 2
#: after the number of parts changed, instances that have not heard of it ask the
#: keepers of before for this long; what is lent counts several times meanwhile.
DIVIDING_S = 3.0
DIVIDING_FACTOR = 4
#: instances that share a quota, as long as it is not known how many there are.
UNKNOWN_INSTANCES = 64
#: time over which the use of a quota is counted.
USED_OVER_S = 1.0
#: seconds between two looks for what lapsed.
SWEEP_INTERVAL_S = 0.25


@attrs.frozen
class QuotaGrant:
    """What a request took of its team's quota.

    :param team: the team.
    :param amount: how much.
    :param is_over: it lies beyond the quota: the request may run if nobody has to
        wait for it.
    """

    team: str
    amount: int
    is_over: bool = False


@attrs.frozen
class QuotaParts:
    """What taking quotas needs.

    :param name: this instance.
    :param list_instances: returns every instance known.
    :param link: carries messages between two instances.
    :param current_table: returns the configuration in force, if any.
    :param tolerance: by how much all instances together may exceed a quota.
    :param are_instances_known: whether the list of instances was read. Right after
        a start each would take itself for the keeper of every quota.
    :param clock: monotonic clock in seconds.
    :param wait: waits until an event is set, for so many seconds at most.
    """

    name: str
    list_instances: Callable[[], Sequence[InstanceRecord]]
    link: DatagramLink
    current_table: Callable[[], RouteTable | None]
    tolerance: QuotaTolerance = QuotaTolerance()
    are_instances_known: Callable[[], bool] = lambda: True
    clock: Callable[[], float] = time.monotonic
    wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait


@attrs.define
class _Credit:
    """What this instance has of one team's quota.

    :param version: the configuration that it was lent under.
    :param shard: the quota it was lent of.
    :param amount: what is left of it.
    :param until_s: what is left then goes back.
    :param used_per_s: what requests here took lately.
    :param used_s: when that was counted.
    :param unpaid: what was let through while no keeper answered.
    :param alone: bounds that.
    """

    version: int
    shard: QuotaShard
    amount: int = 0
    until_s: float = 0.0
    used_per_s: float = 0.0
    used_s: float = 0.0
    unpaid: int = 0
    alone: TokenBucket | None = None

    def note_used(self, amount: int, now_s: float) -> None:
        """Count what a request takes."""
        left_share = max(0.0, 1.0 - (now_s - self.used_s) / USED_OVER_S)
        self.used_per_s = self.used_per_s * left_share + amount / USED_OVER_S
        self.used_s = now_s


class TeamQuotas:
    """Takes what requests need, in one round trip or from what was lent before.

    :param parts: what it needs.
    """

    def __init__(self, parts: QuotaParts) -> None:
        self._name = parts.name
        self._list_instances = parts.list_instances
        self._order = RendezvousOrder(parts.list_instances)
        self._link = parts.link
        self._are_instances_known = parts.are_instances_known
        self._clock = parts.clock
        self.keeper = QuotaKeeper(
            parts.name, parts.current_table, parts.tolerance, parts.clock
        )
        self.calls = DatagramCalls(parts.link, QuotaAnswer, parts.clock, parts.wait)
        self._credits: dict[str, _Credit] = {}
        self._shards: int | None = None
        self._divided_s = float("-inf")
        self.refused = 0
        self.decided_locally = 0
        parts.link.on_message(QuotaQuestion, self._take_question)
        parts.link.on_message(QuotaSpent, lambda m, _: self.keeper.note_spent(m))
        parts.link.on_message(QuotaReturned, lambda m, _: self.keeper.note_returned(m))

    def take(
        self, team: TeamTraits, tokens: int | None, version: int, request_id: str
    ) -> QuotaGrant | None:
        """Take what a request needs of its team's quota.

        :param tokens: the tokens that it says it uses; ``None`` if it does not.
        :param version: the configuration that names the team.
        :returns: ``None`` if the team has no quota, or the request takes nothing.
        :raises QuotaExceededError: if nothing is left.
        """
        quota = team.quota
        if quota is None:
            return None
        limit = LimitInForce(version, quota.rate_per_s, quota.burst)
        cost = quota.cost(tokens)
        if cost <= 0:
            return None
        credit = self._credit(team.name, version)
        now_s = self._clock()
        if credit.until_s <= now_s:
            self._return(credit)
        credit.note_used(cost, now_s)
        is_over = False
        if credit.amount < cost:
            is_over = self._borrow(credit, limit, cost, request_id)
        credit.amount -= cost
        return QuotaGrant(team.name, cost, is_over)

    def give_back(self, grant: QuotaGrant) -> None:
        """Put back what a request took that has not run."""
        credit = self._credits.get(grant.team)
        if credit is None:
            return
        now_s = self._clock()
        if credit.until_s <= now_s:
            credit.until_s = now_s + LEASE_S
        credit.amount += grant.amount

    def sweep(self) -> None:
        """Give back what was lent and lapsed."""
        now_s = self._clock()
        for credit in self._credits.values():
            if credit.amount > 0 and credit.until_s <= now_s:
                self._return(credit)

    def _credit(self, team: str, version: int) -> _Credit:
        """Return what there is of a team's quota, lent under ``version`` or later."""
        count = self._count_shards()
        credit = self._credits.get(team)
        if credit is None:
            shard = self._own_shard(team, count)
            credit = self._credits[team] = _Credit(version, shard)
        elif version > credit.version or credit.shard.count != count:
            self._return(credit)
            credit.version = max(version, credit.version)
            credit.shard = self._own_shard(team, count)
            credit.alone = None
        return credit

    def _count_shards(self) -> int:
        """Return into how many parts quotas are divided."""
        count = -(-len(self._list_instances()) // INSTANCES_PER_KEEPER)
        if count != self._shards and self._are_instances_known():
            if self._shards is not None:
                self._divided_s = self._clock()
            self._shards = count
        return count

    def _own_shard(self, team: str, count: int) -> QuotaShard:
        """Return the part of a quota that this instance asks for first."""
        digest = xxhash.xxh3_64_intdigest(f"{team}/{self._name}".encode())
        return QuotaShard(team, digest % count, count)

    def _return(self, credit: _Credit) -> None:
        amount, credit.amount = credit.amount, 0
        if amount <= 0:
            return
        returned = QuotaReturned(credit.shard, amount)
        record = self._first_heard(credit.shard)
        if record is None:
            return
        if record.name == self._name:
            self.keeper.note_returned(returned)
        else:
            self._link.send(record.address, returned)

    def _first_heard(self, shard: QuotaShard) -> InstanceRecord | None:
        for record in self._order.of(shard.key):
            if not self.calls.silences.is_silent(record.name):
                return record
        return None

    def _borrow(
        self, credit: _Credit, limit: LimitInForce, cost: int, request_id: str
    ) -> bool:
        """Get what a request needs from a keeper.

        :returns: whether it lies beyond the quota.
        :raises QuotaExceededError: if nothing is left.
        """
        shard = credit.shard
        answer = self._ask_shards(credit, limit, cost)
        if answer is None:
            answer = self._decide_alone(credit, limit, cost)
        _log.bind(
            request=request_id,
            team=shard.team,
            version=limit.version,
            rate_per_s=limit.rate_per_s,
            needed=cost,
            lent=answer.lent,
            is_over=answer.is_over,
            wait_s=answer.wait_ms / 1000.0,
            keeper=answer.keeper,
        ).debug("Quota asked for.")
        if not answer.lent:
            self.refused += 1
            raise QuotaExceededError(
                shard.team,
                cost,
                limit.rate_per_s,
                answer.wait_ms / 1000.0,
                answer.keeper or self._name,
            )
        credit.amount += answer.lent
        credit.until_s = self._clock() + answer.lease_ms / 1000.0
        return answer.is_over

    def _ask_shards(
        self, credit: _Credit, limit: LimitInForce, cost: int
    ) -> QuotaAnswer | None:
        """Ask for a part of the quota, and for another one if it is used up.

        :returns: ``None`` if nobody answers, or it is not known who keeps it.
        """
        if not self._are_instances_known():
            return None
        shard = credit.shard
        answer = None
        for step in range(min(SHARDS_ASKED, shard.count)):
            number = (shard.number + step) % shard.count
            answer = self._ask(credit, attrs.evolve(shard, number=number), limit, cost)
            if answer is None or answer.lent:
                break
        return answer

    def _ask(
        self, credit: _Credit, shard: QuotaShard, limit: LimitInForce, cost: int
    ) -> QuotaAnswer | None:
        """Return what the first instance in order that answers lends."""
        ahead = credit.used_per_s * LEASE_S
        unpaid, credit.unpaid = credit.unpaid, 0
        for record in self._order.of(shard.key):
            question = QuotaQuestion(
                self.calls.next_number(),
                shard,
                limit,
                cost,
                # One request alone needs nothing ahead.
                int(ahead) if ahead > cost else 0,
                unpaid,
            )
            if record.name == self._name:
                return self._serve(question)
            answer = self.calls.ask(record, question)
            if answer is not None:
                return answer
        credit.unpaid += unpaid
        return None

    def _decide_alone(
        self, credit: _Credit, limit: LimitInForce, cost: int
    ) -> QuotaAnswer:
        """Decide by an equal share while no keeper answers.

        What is let through is told to the keeper later.
        """
        now_s = self._clock()
        if credit.alone is None:
            instances = len(self._list_instances())
            if not self._are_instances_known():
                instances = max(instances, UNKNOWN_INSTANCES)
            burst = limit.burst / instances
            rate_per_s = limit.rate_per_s / instances
            # Enough for a first request, which leaves it in debt.
            credit.alone = TokenBucket(rate_per_s, burst, 1.0, now_s)
        self.decided_locally += 1
        if not credit.alone.take(cost, now_s):
            wait_ms = int(credit.alone.refuse(cost, now_s) * 1000)
            return QuotaAnswer(0, 0, wait_ms=wait_ms, keeper=self._name)
        credit.unpaid += cost
        return QuotaAnswer(0, cost, keeper=self._name)

    def _take_question(self, question: QuotaQuestion, sender: str) -> None:
        self._link.send(sender, self._serve(question))

    def _serve(self, question: QuotaQuestion) -> QuotaAnswer:
        """Answer a question, and tell the instance that would follow."""
        self._count_shards()
        is_dividing = self._clock() - self._divided_s < DIVIDING_S
        answer = self.keeper.decide(question, DIVIDING_FACTOR if is_dividing else 1)
        amount = answer.lent + question.unpaid
        if amount:
            spent = QuotaSpent(question.shard, question.limit, amount, answer.is_over)
            choices = self._order.of(question.shard.key)
            for record in choices[:2]:
                if record.name != self._name:
                    self._link.send(record.address, spent)
                    break
        return answer
