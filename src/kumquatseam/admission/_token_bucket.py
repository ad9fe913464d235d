"""A token bucket that lets each request begin while anything is left in it."""

#: longest time after which a refused caller is told to come back.
MAX_WAIT_S = 5.0


class TokenBucket:
    """Bounds what is taken to a rate and a burst.

    A request may take more than is left, and the bucket is in debt afterwards.
    So a request larger than the burst is served, large requests have the same
    chance as small ones at a limit that is reached, and over any time no more is
    taken than the rate, the burst and one request. Times are passed in.

    :param rate_per_s: refills it.
    :param burst: the most it holds.
    :param level: what it holds at first.
    :param now_s: the time at which it does.
    """

    def __init__(
        self, rate_per_s: float, burst: float, level: float, now_s: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(level, burst)
        self._refused = 0.0
        self._at_s = now_s

    def level(self, now_s: float) -> float:
        """Return what is left; below zero while it is in debt."""
        self._refill(now_s)
        return self._level

    def take(self, amount: float, now_s: float) -> bool:
        """Take an amount if anything is left; return whether it was taken."""
        self._refill(now_s)
        if self._level <= 0:
            return False
        self._level -= amount
        return True

    def spend(self, amount: float, now_s: float) -> None:
        """Take an amount whatever is left: it was let through elsewhere."""
        self._refill(now_s)
        self._level -= amount

    def give_back(self, amount: float, now_s: float) -> None:
        """Put back what was taken and not used."""
        self._refill(now_s)
        self._level = min(self.burst, self._level + amount)

    def resize(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the limit; a lower one takes what lies above it at once."""
        self._refill(now_s)
        self._level += max(0.0, burst - self.burst)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def refuse(self, amount: float, now_s: float) -> float:
        """Return after how long a refused request may be taken.

        Those refused before it come back first: each is given the time at which
        the bucket has refilled for it and for them.
        """
        self._refill(now_s)
        if self.rate_per_s <= 0:
            return MAX_WAIT_S
        wait_s = (self._refused - self._level) / self.rate_per_s
        self._refused = min(self._refused + amount, MAX_WAIT_S * self.rate_per_s)
        return min(MAX_WAIT_S, max(0.0, wait_s) + amount / self.rate_per_s)

    def _refill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self._at_s) * self.rate_per_s
        self._at_s = max(self._at_s, now_s)
        self._level = min(self.burst, self._level + gained)
        self._refused = max(0.0, self._refused - gained)
