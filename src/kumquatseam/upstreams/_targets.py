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
#: stands for the age of a naming that happened at an unknown time.
UNKNOWN_AGE_S = float("inf")


@attrs.frozen
class _Naming:
    """A version and when it was named.

    :param version: the version.
    :param learnt_s: when this process learnt of it.
    :param named_s: when it was named, if that is known.
    :param replaced: the version it was named in place of, if a peer told; this
        process then knows nothing of what replaced older ones.
    """

    version: int
    learnt_s: float
    named_s: float | None
    replaced: int | None = None


class WeightsTargets:
    """The versions named of each model, newest last.

    A process that starts reads the newest version without knowing when it was
    named. It takes that for long ago until a peer says otherwise: engines that
    still run older weights may have had their time.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []
        self._named: dict[str, collections.deque[_Naming]] = {}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever new weights are named."""
        self._listeners.append(listener)

    def take(self, named: WeightsNamed) -> None:
        """Take in weights that were named just now."""
        self._add(named, self._clock(), "store")

    def take_known(self, named: WeightsNamed) -> None:
        """Take in weights that were named at an unknown time before."""
        self._add(named, None, "store, read whole")

    def hear(
        self, named: WeightsNamed, age_s: float, replaced: int | None = None
    ) -> None:
        """Take in what a peer knows of a naming.

        :param age_s: how long ago it was, or :data:`UNKNOWN_AGE_S`.
        :param replaced: the version it was named in place of, if known.
        """
        named_s = None if age_s == UNKNOWN_AGE_S else self._clock() - age_s
        self._add(named, named_s, "peer")
        newest = self._newest(named.model)
        is_same = newest.version == named.version
        if is_same and newest.named_s is None and named_s is not None:
            namings = self._named[named.model]
            namings[-1] = attrs.evolve(newest, named_s=named_s, replaced=replaced)

    def all(self) -> list[WeightsNamed]:
        """Return the newest weights of each model."""
        return [
            WeightsNamed(model, namings[-1].version)
            for model, namings in self._named.items()
        ]

    def age_s(self, model: str) -> float:
        """Return how long ago the newest version of ``model`` was named."""
        newest = self._newest(model)
        return self._age_s(newest) if newest is not None else 0.0

    def learnt_age_s(self, model: str) -> float:
        """Return how long this process has known the newest version."""
        newest = self._newest(model)
        return self._clock() - newest.learnt_s if newest is not None else 0.0

    def replaced_age_s(self, model: str, version: int) -> float:
        """Return how long ago a version newer than ``version`` was named.

        :returns: 0 if there is none, :data:`UNKNOWN_AGE_S` if nobody knows.
        """
        for naming in self._named.get(model, ()):
            if naming.version <= version:
                continue
            if naming.replaced is not None and version < naming.replaced:
                # Something older replaced it, at a time nobody told.
                return UNKNOWN_AGE_S
            return self._age_s(naming)
        return 0.0

    def replaced_version(self, model: str) -> int | None:
        """Return the version that the newest was named in place of, if known."""
        namings = self._named.get(model, ())
        if len(namings) > 1:
            return namings[-2].version
        return namings[-1].replaced if namings else None

    def _newest(self, model: str) -> _Naming | None:
        namings = self._named.get(model)
        return namings[-1] if namings else None

    def _age_s(self, naming: _Naming) -> float:
        if naming.named_s is None:
            return UNKNOWN_AGE_S
        return self._clock() - naming.named_s

    def _add(self, named: WeightsNamed, named_s: float | None, source: str) -> None:
        newest = self._newest(named.model)
        if newest is not None and named.version <= newest.version:
            return
        namings = self._named.setdefault(
            named.model, collections.deque(maxlen=REMEMBERED_VERSIONS)
        )
        namings.append(_Naming(named.version, self._clock(), named_s))
        _log.bind(
            model=named.model,
            version=named.version,
            before=newest.version if newest else None,
            source=source,
        ).info("Weights named.")
        for listener in self._listeners:
            listener()
