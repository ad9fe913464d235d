"""The weights that are to be in force, and since when."""

import collections
import time
from collections.abc import Callable

import attrs

from kumquatseam.logs import part_logger
from kumquatseam.upstreams._upstream import WeightsNamed

_log = part_logger("rollout")

#: versions of a model whose naming is remembered; engines lag by a few.
REMEMBERED_VERSIONS = 32


@attrs.frozen
class _Target:
    """A version and when this process learnt of it."""

    version: int
    known_s: float


class WeightsTargets:
    """The versions named of each model, newest last.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._targets: dict[str, _Target] = {}
        self._listeners: list[Callable[[], None]] = []
        self._named: dict[str, collections.deque[_Target]] = {}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever new weights are named."""
        self._listeners.append(listener)

    def take(self, named: WeightsNamed) -> None:
        """Take in named weights; older ones than known are ignored."""
        known = self._targets.get(named.model)
        if known is not None and named.version <= known.version:
            return
        target = _Target(named.version, self._clock())
        self._targets[named.model] = target
        history = self._named.setdefault(
            named.model, collections.deque(maxlen=REMEMBERED_VERSIONS)
        )
        history.append(target)
        _log.bind(
            model=named.model,
            version=named.version,
            before=known.version if known else None,
        ).info("Weights named.")
        for listener in self._listeners:
            listener()

    def all(self) -> list[WeightsNamed]:
        """Return the newest weights of each model."""
        return [WeightsNamed(m, target.version) for m, target in self._targets.items()]

    def version(self, model: str) -> int | None:
        """Return the newest version named of ``model``."""
        target = self._targets.get(model)
        return target.version if target else None

    def age_s(self, model: str) -> float:
        """Return how long ago the newest version of ``model`` became known."""
        target = self._targets.get(model)
        return self._clock() - target.known_s if target else 0.0

    def replaced_age_s(self, model: str, version: int) -> float | None:
        """Return how long ago a version newer than ``version`` became known.

        :returns: ``None`` if there is no newer one.
        """
        for target in self._named.get(model, ()):
            if target.version > version:
                return self._clock() - target.known_s
        return None
