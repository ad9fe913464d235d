"""Back ends kept out of the choice for a while after a failure."""

#: how long a failure holds a back end out.
HOLD_S = 1.0


class FailureCooldowns:
    """Names held out for a fixed time after their last failure.

    :param hold_s: how long a failure holds a name out.
    """

    def __init__(self, hold_s: float = HOLD_S) -> None:
        self._hold_s = hold_s
        self._until_s: dict[str, float] = {}

    def hold(self, name: str, now_s: float) -> None:
        """Hold ``name`` out from now on."""
        self._until_s[name] = now_s + self._hold_s

    def holds(self, name: str, now_s: float) -> bool:
        """Return whether ``name`` is held out now."""
        until_s = self._until_s.get(name)
        if until_s is None:
            return False
        if now_s >= until_s:
            del self._until_s[name]
            return False
        return True
