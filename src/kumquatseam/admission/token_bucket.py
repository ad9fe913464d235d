"""A token bucket that admits a request of any cost while it is not empty."""

#: longest delay that a refused caller is given.
MAX_WAIT_S = 5.0


class TokenBucket:
    """Limits consumption to a rate and a burst.

    A request may consume more than is left, which puts the bucket in debt. So
    requests larger than the burst can run, large requests are refused no more often
    than small ones at the limit, and over any period consumption is at most the
    rate, the burst and one request. The caller passes in the current time.

    :param rate_per_s: the refill rate.
    :param burst: the capacity.
    :param level: the initial level.
    :param now_s: the current time.
    """

    def __init__(
        self, rate_per_s: float, burst: float, level: float, now_s: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(level, burst)
        self._refused = 0.0
        self._updated_s = now_s

    def level(self, now_s: float) -> float:
        """Return what is left; negative while the bucket is in debt."""
        self._refill(now_s)
        return self._level

    def try_consume(self, amount: float, now_s: float) -> bool:
        """Consume ``amount`` unless the bucket is empty; return whether it did."""
        self._refill(now_s)
        if self._level <= 0:
            return False
        self._level -= amount
        return True

    def force_consume(self, amount: float, now_s: float) -> None:
        """Consume ``amount`` at any level, for usage admitted elsewhere."""
        self._refill(now_s)
        self._level -= amount

    def refund(self, amount: float, now_s: float) -> None:
        """Refill the bucket with a consumed amount that was not used."""
        self._refill(now_s)
        self._level = min(self.burst, self._level + amount)

    def resize(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change rate and burst; a level above the new burst is cut at once."""
        self._refill(now_s)
        self._level += max(0.0, burst - self.burst)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def schedule_retry(self, amount: float, now_s: float) -> float:
        """Return the delay in seconds after which to retry a refused request.

        Requests refused earlier retry first: the delay ends when the bucket has
        refilled enough for them and for this request.
        """
        self._refill(now_s)
        if self.rate_per_s <= 0:
            return MAX_WAIT_S
        wait_s = (self._refused - self._level) / self.rate_per_s
        self._refused = min(self._refused + amount, MAX_WAIT_S * self.rate_per_s)
        return min(MAX_WAIT_S, max(0.0, wait_s) + amount / self.rate_per_s)

    def _refill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self._updated_s) * self.rate_per_s
        self._updated_s = max(self._updated_s, now_s)
        self._level = min(self.burst, self._level + gained)
        self._refused = max(0.0, self._refused - gained)
