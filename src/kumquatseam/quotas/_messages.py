"""What instances ask and tell each other about quotas."""

import attrs


@attrs.frozen
class QuotaShard:
    """The part of a team's quota that one instance keeps.

    :param team: the team.
    :param number: the part's number.
    :param count: into how many parts the quota is divided.
    """

    team: str
    number: int = 0
    count: int = 1

    @property
    def key(self) -> str:
        """Names the shard for choosing its keeper."""
        return f"quota/{self.team}/{self.number}/{self.count}"


@attrs.frozen
class LimitInForce:
    """A team's quota as of one configuration.

    :param version: the configuration's version; the higher one counts.
    :param rate_per_s: requests or tokens a second.
    :param burst: requests or tokens beyond that at once.
    """

    version: int
    rate_per_s: float
    burst: float


@attrs.frozen
class QuotaQuestion:
    """Asks the keeper of a quota for some of it.

    :param number: names the question; the answer repeats it.
    :param shard: the quota.
    :param limit: the team's whole quota, as the asker knows it.
    :param needed: what a request needs.
    :param wanted: what further ones are likely to need.
    :param unpaid: what the asker let through while no keeper answered.
    """

    number: int
    shard: QuotaShard
    limit: LimitInForce
    needed: int
    wanted: int = 0
    unpaid: int = 0


@attrs.frozen
class QuotaAnswer:
    """Lends some of a quota.

    :param number: the question's.
    :param lent: how much; 0 if nothing is left.
    :param lease_ms: what is not used by then goes back.
    :param wait_ms: if nothing is left, when to come back.
    :param keeper: who decided.
    :param is_over: it lies beyond the quota, within what the fleet may exceed it
        by: the request may run if nobody has to wait for it.
    """

    number: int
    lent: int
    lease_ms: int = 0
    wait_ms: int = 0
    keeper: str = ""
    is_over: bool = False


@attrs.frozen
class QuotaTolerance:
    """By how much all instances together may exceed a quota.

    In each window no more may run than ``(rate * window + burst) * (1 + over)``
    and ``slack`` more.

    :param window_s: the window.
    :param over: the share.
    :param slack: requests or tokens, as the quota counts.
    """

    window_s: float = 10.0
    over: float = 0.0
    slack: float = 0.0

    def rate_beyond(self, limit: LimitInForce) -> float:
        """Return how much a second may run beyond a quota."""
        within = limit.rate_per_s * self.window_s + limit.burst
        return (self.over * within + self.slack) / self.window_s


@attrs.frozen
class QuotaSpent:
    """Tells the instance that would follow the keeper what was lent.

    :param shard: the quota.
    :param limit: the team's whole quota.
    :param amount: how much was lent.
    :param is_over: it lies beyond the quota.
    """

    shard: QuotaShard
    limit: LimitInForce
    amount: int
    is_over: bool = False


@attrs.frozen
class QuotaReturned:
    """Gives back what was lent and not used.

    :param shard: the quota.
    :param amount: how much.
    """

    shard: QuotaShard
    amount: int


#: messages over datagrams, by name on the wire.
DATAGRAM_KINDS = {
    "quota": QuotaQuestion,
    "lent": QuotaAnswer,
    "spent": QuotaSpent,
    "returned": QuotaReturned,
}
