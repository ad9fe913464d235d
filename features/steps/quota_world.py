"""A fleet that keeps teams within their quotas, in modelled time."""

import bisect
import random

import attrs
from modelled_clock import Clock
from modelled_fibers import FiberNet
from modelled_net import ModelledLink

from kumquatseam.codec import MessageCodec
from kumquatseam.peers import InstanceRecord, NoDatagrams, RendezvousOrder
from kumquatseam.quotas import (
    DATAGRAM_KINDS,
    SWEEP_INTERVAL_S,
    QuotaExceededError,
    QuotaParts,
    QuotaShard,
    QuotaTolerance,
    TeamQuotas,
)
from kumquatseam.routes import RouteTable, TeamQuota, TeamTraits

CODEC = MessageCodec("datagram", DATAGRAM_KINDS, is_compact=True)
#: the rule: in each window of so many seconds no more than the quota's rate and
#: burst, a tenth over, and a slack.
WINDOW_S = 8.0
OVER = 0.1
SLACK = 110_000
TOLERANCE = QuotaTolerance(WINDOW_S, OVER, SLACK)
#: what requests of a team take, in tokens, and how often: long and short ones.
COSTS = ((9_200, 0.42), (875, 0.58))
MEAN_COST = sum(cost * share for cost, share in COSTS)
#: round trips between instances take so long at most.
DELAY_S = 0.003


@attrs.define
class Taken:
    """A request of a team.

    :param at_s: when it came.
    :param side: the instance that it came to.
    :param cost: what it takes.
    :param is_granted: whether it was let through; ``None`` while it waits.
    :param is_over: it was, if nobody has to wait for it.
    :param took_s: how long the decision took.
    :param retry_after_s: when a refused one was told to come back.
    """

    at_s: float
    side: str
    cost: int
    is_granted: bool | None = None
    is_over: bool = False
    took_s: float = 0.0
    retry_after_s: float = 0.0


class Side:
    """One instance."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        #: the configuration known here; that of the fleet unless set.
        self.own_table = None
        #: the instances known here; all of them unless set.
        self.own_records = None
        self.is_list_known = True
        self.start()

    @property
    def table(self):
        return self.own_table or self.fleet.table

    def start(self):
        fleet = self.fleet
        self.is_up = True
        self.link = ModelledLink(fleet.net, self.record.address)
        self.quotas = TeamQuotas(
            QuotaParts(
                self.record.name,
                lambda: self.own_records or fleet.records,
                self.link,
                lambda: self.table,
                fleet.tolerance,
                lambda: self.is_list_known,
                fleet.clock,
                fleet.net.wait,
            )
        )


class QuotaFleet:
    """Instances that share the quotas of teams."""

    def __init__(self, count, seed=1, tolerance=TOLERANCE):
        self.tolerance = tolerance
        self.clock = Clock()
        self.draw = random.Random(seed)
        self.net = FiberNet(self.clock, self.draw, CODEC)
        self.net.longest_delay_s = DELAY_S
        self.table = RouteTable(1)
        self.records = tuple(
            InstanceRecord(f"i{n}", f"10.0.{n // 250}.{n % 250}:1", "", 10.0)
            for n in range(count)
        )
        self.sides = {r.name: Side(self, r) for r in self.records}
        self.net.sides = {s.record.address: s for s in self.sides.values()}
        self.taken = {}
        #: requests that were refused once and came when they were told to.
        self.came_back = []
        self._sweep()

    def set_quota(self, team, quota, is_known_to=lambda side: True):
        """Put a configuration in force that gives a team a quota."""
        before = self.table
        others = [t for t in before.teams if t.name != team]
        teams = (*others, TeamTraits(team, quota=quota))
        self.table = RouteTable(before.version + 1, teams=teams)
        for side in self.sides.values():
            if not is_known_to(side):
                side.own_table = side.own_table or before

    def keeper_of(self, team):
        """Return the first choice for keeping a team's quota."""
        order = RendezvousOrder(lambda: self.records)
        return [self.sides[r.name] for r in order.of(QuotaShard(team).key)]

    # Load.

    def offer(self, team, tokens_per_s, for_s, names=None, is_obedient=False):
        """Let a team's requests come at random, in all or some instances."""
        names = names or list(self.sides)
        at_s, end_s = self.clock(), self.clock() + for_s
        while True:
            at_s += self.draw.expovariate(tokens_per_s / MEAN_COST)
            if at_s >= end_s:
                return
            (cost,) = self.draw.choices(
                [c for c, _ in COSTS], [share for _, share in COSTS]
            )
            name = self.draw.choice(names)
            delay_s = at_s - self.clock()
            self.net.call_later(delay_s, self.request, team, name, cost, is_obedient)

    def request(self, team, name, cost, is_obedient=False, is_repeat=False):
        side = self.sides[name]
        if side.is_up and side.record.address not in self.net.cut:
            self.net.spawn(self._request, team, side, cost, is_obedient, is_repeat)

    def _request(self, team, side, cost, is_obedient, is_repeat):
        taken = Taken(self.clock(), side.record.name, cost)
        self.taken.setdefault(team, []).append(taken)
        if is_repeat:
            self.came_back.append(taken)
        table = side.table
        (traits,) = [t for t in table.teams if t.name == team] or [TeamTraits(team)]
        try:
            grant = side.quotas.acquire(traits, cost, table.version, "r")
            taken.is_granted = True
            taken.is_over = grant is not None and grant.is_over
        except QuotaExceededError as error:
            taken.is_granted = False
            taken.retry_after_s = error.retry_after_s
            if is_obedient and not is_repeat:
                name = self.draw.choice(list(self.sides))
                back = (team, name, cost, True, True)
                self.net.call_later(error.retry_after_s, self.request, *back)
        taken.took_s = self.clock() - taken.at_s

    def _sweep(self):
        for side in self.sides.values():
            if side.is_up:
                side.quotas.sweep()
        self.net.call_later(SWEEP_INTERVAL_S, self._sweep)

    def run(self, for_s):
        self.net.run_until(self.clock() + for_s)

    # What came of it.

    def granted(self, team, from_s=0.0):
        return [t for t in self.taken.get(team, ()) if t.is_granted and t.at_s > from_s]

    def refused(self, team, from_s=0.0):
        return [
            t
            for t in self.taken.get(team, ())
            if t.is_granted is False and t.at_s > from_s
        ]

    def granted_tokens(self, team, from_s=0.0):
        """Return what was let through, and of that what lies within the quota."""
        granted = self.granted(team, from_s)
        within = sum(t.cost for t in granted if not t.is_over)
        return sum(t.cost for t in granted), within

    def refused_below(self, team, quota):
        """Return the requests refused although what ran left room for them.

        Room is what an exact bucket has left after what was let through.
        """
        level, at_s, found = quota.burst, 0.0, []
        for t in sorted(self.taken.get(team, ()), key=lambda t: t.at_s):
            level = min(quota.burst, level + (t.at_s - at_s) * quota.rate_per_s)
            at_s = t.at_s
            if t.is_granted:
                level -= t.cost
            if level >= t.cost and (t.is_over or not t.is_granted):
                found.append(t)
        return found

    def worst_window(self, team, from_s=0.0):
        """Return the most that was let through in any window."""
        granted = sorted(self.granted(team, from_s), key=lambda t: t.at_s)
        times = [t.at_s for t in granted]
        sums = [0]
        for t in granted:
            sums.append(sums[-1] + t.cost)
        return max(
            (
                sums[bisect.bisect_left(times, t.at_s + WINDOW_S)] - sums[i]
                for i, t in enumerate(granted)
            ),
            default=0,
        )


def allowed_in_window(quota):
    """Return what the rule allows a team in any window."""
    return (quota.rate_per_s * WINDOW_S + quota.burst) * (1 + OVER) + SLACK


def tokens(rate_per_s, burst=None):
    burst = rate_per_s if burst is None else burst
    return TeamQuota(rate_per_s, burst, is_token_based=True, default_tokens=200)


def single_instance_quotas():
    """Return the quotas of an instance without others."""
    records = (InstanceRecord("alone", "127.0.0.1:1"),)
    return TeamQuotas(QuotaParts("alone", lambda: records, NoDatagrams(), lambda: None))
