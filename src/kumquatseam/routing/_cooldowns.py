"""Engines and service replicas not chosen for a while after a failure."""

#: seconds for which a failed name is not chosen.
COOLDOWN_S = 1.0


class FailureCooldowns:
    """Names in a cooldown of fixed length since their last failure.

    :param cooldown_s: length of the cooldown.
    """

    def __init__(self, cooldown_s: float = COOLDOWN_S) -> None:
        self._cooldown_s = cooldown_s
        self._until_s: dict[str, float] = {}

    def start(self, name: str, now_s: float) -> None:
        """Start or restart the cooldown of ``name`` now."""
        self._until_s[name] = now_s + self._cooldown_s

    def is_active(self, name: str, now_s: float) -> bool:
        """Return whether ``name`` is in its cooldown now."""
        until_s = self._until_s.get(name)
        if until_s is None:
            return False
        if now_s >= until_s:
            del self._until_s[name]
            return False
        return True
