"""A simulated fleet that enforces team quotas."""

import bisect
import random

import attrs
from modelled_clock import Clock
from modelled_fibers import FiberNet
from modelled_net import ModelledLink

from kumquatseam.codec import MessageCodec
from kumquatseam.origins import OriginParts, StreamOrigins
from kumquatseam.peers import InstanceRecord, NullDatagramLink, RendezvousOrder
from kumquatseam.quotas import (
    DATAGRAM_KINDS,
    SWEEP_INTERVAL_S,
    QuotaExceededError,
    QuotaParts,
    QuotaShard,
    QuotaTolerance,
    RetryBudgets,
    ShardOwners,
    TeamQuotas,
    UpstreamLimits,
    UpstreamPlaces,
)
from kumquatseam.routes import RouteTable, TeamQuota, TeamTraits
from kumquatseam.upstreams import Brittleness, UpstreamDirectory

CODEC = MessageCodec("datagram", DATAGRAM_KINDS, is_compact=True)
#: the tolerance: in each window, the quota's rate and burst may be exceeded by a tenth
#: and by the slack.
WINDOW_S = 8.0
EXCESS_RATIO = 0.1
SLACK_TOKENS = 110_000
TOLERANCE = QuotaTolerance(WINDOW_S, EXCESS_RATIO, SLACK_TOKENS)
#: costs of long and short requests, in tokens, and their share of the requests.
COSTS = ((9_200, 0.42), (875, 0.58))
MEAN_COST = sum(cost * share for cost, share in COSTS)
#: longest round trip between instances.
MAX_DELAY_S = 0.003


@attrs.define
class TeamRequest:
    """A request of a team.

    :param at_s: when it arrived.
    :param instance: the instance that it arrived at.
    :param cost: its cost in tokens.
    :param is_granted: whether it was admitted; ``None`` while undecided.
    :param is_over: whether it was admitted over the quota, to run only if it delays
        no other request.
    :param took_s: how long the decision took.
    :param retry_after_s: the retry delay, if it was refused.
    """

    at_s: float
    instance: str
    cost: int
    is_granted: bool | None = None
    is_over: bool = False
    took_s: float = 0.0
    retry_after_s: float = 0.0


class SimulatedInstance:
    """One instance of the fleet."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        #: the configuration known to this instance; ``None`` means the fleet's.
        self.known_table = None
        #: the instances known to this instance; ``None`` means all.
        self.known_records = None
        self.is_list_known = True
        self.start()

    @property
    def table(self):
        return self.known_table or self.fleet.table

    def start(self):
        fleet = self.fleet
        self.is_up = True
        self.link = ModelledLink(fleet.net, self.record.address)
        self.owners = ShardOwners(
            QuotaParts(
                self.record.name,
                lambda: self.known_records or fleet.records,
                self.link,
                lambda: self.table,
                fleet.tolerance,
                lambda: self.is_list_known,
                fleet.clock,
                fleet.net.wait,
            )
        )
        self.quotas = TeamQuotas(self.owners)


class QuotaFleet:
    """Instances that enforce team quotas together."""

    def __init__(self, count, seed=1, tolerance=TOLERANCE):
        self.tolerance = tolerance
        self.clock = Clock()
        self.draw = random.Random(seed)
        self.net = FiberNet(self.clock, self.draw, CODEC)
        self.net.max_delay_s = MAX_DELAY_S
        self.table = RouteTable(1)
        self.records = tuple(
            InstanceRecord(f"i{n}", f"10.0.{n // 250}.{n % 250}:1", "", 10.0)
            for n in range(count)
        )
        self.instances = {r.name: SimulatedInstance(self, r) for r in self.records}
        self.net.endpoints = {i.record.address: i for i in self.instances.values()}
        self.requests = {}
        #: refused requests that were sent again after their retry delay.
        self.retried = []
        self._sweep()

    def set_quota(self, team, quota, is_known_to=lambda instance: True):
        """Set a team's quota in a new configuration version."""
        before = self.table
        others = [t for t in before.teams if t.name != team]
        teams = (*others, TeamTraits(team, quota=quota))
        self.table = RouteTable(before.version + 1, teams=teams)
        for instance in self.instances.values():
            if not is_known_to(instance):
                instance.known_table = instance.known_table or before

    def owners_of(self, team):
        """Return the candidates for owner of a team's quota, in order."""
        order = RendezvousOrder(lambda: self.records)
        return [self.instances[r.name] for r in order.owners_of(QuotaShard(team).key)]

    # Load.

    def offer(self, team, tokens_per_s, for_s, names=None, obeys_retry_delay=False):
        """Schedule a team's requests at random times, at all or some instances."""
        names = names or list(self.instances)
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
            self.net.call_later(
                delay_s, self.send_request, team, name, cost, obeys_retry_delay
            )

    def send_request(self, team, name, cost, obeys_retry_delay=False, is_repeat=False):
        instance = self.instances[name]
        if instance.is_up and instance.record.address not in self.net.unreachable:
            self.net.spawn(
                self._request, team, instance, cost, obeys_retry_delay, is_repeat
            )

    def _request(self, team, instance, cost, obeys_retry_delay, is_repeat):
        request = TeamRequest(self.clock(), instance.record.name, cost)
        self.requests.setdefault(team, []).append(request)
        if is_repeat:
            self.retried.append(request)
        table = instance.table
        (traits,) = [t for t in table.teams if t.name == team] or [TeamTraits(team)]
        try:
            grant = instance.quotas.acquire(traits, cost, table.version, "r")
            request.is_granted = True
            request.is_over = grant is not None and grant.is_over
        except QuotaExceededError as error:
            request.is_granted = False
            request.retry_after_s = error.retry_after_s
            if obeys_retry_delay and not is_repeat:
                name = self.draw.choice(list(self.instances))
                retry = (team, name, cost, True, True)
                self.net.call_later(error.retry_after_s, self.send_request, *retry)
        request.took_s = self.clock() - request.at_s

    def _sweep(self):
        for instance in self.instances.values():
            if instance.is_up:
                instance.quotas.sweep()
        self.net.call_later(SWEEP_INTERVAL_S, self._sweep)

    def run(self, for_s):
        self.net.run_until(self.clock() + for_s)

    # Results.

    def granted(self, team, from_s=0.0):
        return [
            r for r in self.requests.get(team, ()) if r.is_granted and r.at_s > from_s
        ]

    def refused(self, team, from_s=0.0):
        return [
            r
            for r in self.requests.get(team, ())
            if r.is_granted is False and r.at_s > from_s
        ]

    def granted_tokens(self, team, from_s=0.0):
        """Return the tokens granted in total, and those granted within the quota."""
        granted = self.granted(team, from_s)
        within_quota = sum(r.cost for r in granted if not r.is_over)
        return sum(r.cost for r in granted), within_quota

    def refused_below(self, team, quota):
        """Return the requests refused although the quota left room for them.

        The room is the level of one exact token bucket charged with the granted
        requests of the whole fleet.
        """
        level, at_s, found = quota.burst, 0.0, []
        for r in sorted(self.requests.get(team, ()), key=lambda r: r.at_s):
            level = min(quota.burst, level + (r.at_s - at_s) * quota.rate_per_s)
            at_s = r.at_s
            if r.is_granted:
                level -= r.cost
            if level >= r.cost and (r.is_over or not r.is_granted):
                found.append(r)
        return found

    def most_in_window(self, team, from_s=0.0):
        """Return the most tokens granted in any window."""
        granted = sorted(self.granted(team, from_s), key=lambda r: r.at_s)
        times = [r.at_s for r in granted]
        sums = [0]
        for r in granted:
            sums.append(sums[-1] + r.cost)
        return max(
            (
                sums[bisect.bisect_left(times, r.at_s + WINDOW_S)] - sums[i]
                for i, r in enumerate(granted)
            ),
            default=0,
        )


def allowed_in_window(quota):
    """Return the most tokens that a team may be granted in any window."""
    return (quota.rate_per_s * WINDOW_S + quota.burst) * (
        1 + EXCESS_RATIO
    ) + SLACK_TOKENS


def token_quota(rate_per_s, burst=None):
    """Return a quota in tokens."""
    burst = rate_per_s if burst is None else burst
    return TeamQuota(rate_per_s, burst, is_token_based=True, default_tokens=200)


def single_instance_owners():
    """Return the owners of shards in a fleet of one instance."""
    records = (InstanceRecord("alone", "127.0.0.1:1"),)
    return ShardOwners(
        QuotaParts("alone", lambda: records, NullDatagramLink(), is_first_start=True)
    )


def single_instance_quotas():
    """Return the quotas of a fleet of one instance."""
    return TeamQuotas(single_instance_owners())


def single_instance_retries():
    """Return the retry budgets of a fleet of one instance."""
    return RetryBudgets(single_instance_owners())


def single_instance_origins():
    """Return the origins of streams in a fleet of one instance."""
    records = (InstanceRecord("alone", "127.0.0.1:1"),)
    return StreamOrigins(OriginParts("alone", lambda: records, NullDatagramLink()))


def single_instance_limits():
    """Return the limits of upstreams in a fleet of one instance."""
    owners = single_instance_owners()
    places = UpstreamPlaces(owners, Brittleness(owners.limits), UpstreamDirectory())
    return UpstreamLimits(owners, places=places)
