"""The weights that are to be in force, and since when."""

from collections.abc import Callable

import attrs

from kumquatseam.clocks import elapsed_s
from kumquatseam.logs import part_logger
from kumquatseam.upstreams._upstream import WeightsVersion

_log = part_logger("rollout")

#: versions of a model whose naming is remembered; engines lag by a few.
REMEMBERED_VERSIONS = 32
#: stands for the age of a naming that happened at an unknown time.
UNKNOWN_AGE_S = float("inf")
#: an age that is corrected by more than this is logged.
LOGGED_CORRECTION_S = 0.5


@attrs.frozen
class _Naming:
    """A version and when it was named.

    :param version: the version.
    :param learnt_s: when this process learnt of it.
    :param named_s: when anybody first knew of it, as far as was told; ``None`` if
        nobody told.
    :param unseen_since_s: when it may have been named already without being noticed
        here.
    :param replaced: the version it was named in place of, if a peer told; this
        process then knows nothing of what replaced older ones.
    """

    version: int
    learnt_s: float
    named_s: float | None
    unseen_since_s: float
    replaced: int | None = None


class WeightsTargets:
    """The versions named of each model, newest last.

    A process that starts reads the newest version without knowing when it was
    named. It takes that for long ago until a peer says otherwise: engines that
    still run older weights may have had their time.

    A naming is as old as the first instance that knew of it says: one that learns
    of it late is told by others, and no age is made younger again.

    :param clock: seconds that also pass while the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float] = elapsed_s) -> None:
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []
        #: the namings of each model, in order of their versions.
        self._named: dict[str, list[_Naming]] = {}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever new weights are named."""
        self._listeners.append(listener)

    def take(self, named: WeightsVersion, unseen_s: float = 0.0) -> None:
        """Take in weights that were named just now.

        :param unseen_s: they may have been named this long ago without being
            noticed here.
        """
        now_s = self._clock()
        naming = _Naming(named.version, now_s, now_s, now_s - unseen_s)
        self._add(named.model, naming, "store")

    def add_with_unknown_age(self, named: WeightsVersion) -> None:
        """Take in weights that were named at an unknown time before."""
        now_s = self._clock()
        naming = _Naming(named.version, now_s, None, now_s)
        self._add(named.model, naming, "store, read whole")

    def hear(
        self, named: WeightsVersion, age_s: float, replaced: int | None = None
    ) -> None:
        """Take in what a peer knows of a naming.

        :param age_s: how long ago it was at least, or :data:`UNKNOWN_AGE_S`.
        :param replaced: the version it was named in place of, if known.
        """
        now_s = self._clock()
        named_s = None if age_s == UNKNOWN_AGE_S else now_s - age_s
        since_s = now_s if named_s is None else named_s
        naming = _Naming(named.version, now_s, named_s, since_s, replaced)
        known = self._find(named.model, named.version)
        if known is not None and known.named_s is None and named_s is not None:
            self._put(named.model, attrs.evolve(naming, learnt_s=known.learnt_s))
            return
        self._add(named.model, naming, "peer")

    def all(self) -> list[WeightsVersion]:
        """Return the newest weights of each model."""
        return [
            WeightsVersion(model, namings[-1].version)
            for model, namings in self._named.items()
        ]

    def age_s(self, model: str) -> float:
        """Return how long ago the newest version of ``model`` was named at least."""
        newest = self._newest(model)
        return self._age_s(newest) if newest is not None else 0.0

    def known_for_s(self, model: str) -> float:
        """Return how long this process has known the newest version."""
        newest = self._newest(model)
        return self._clock() - newest.learnt_s if newest is not None else 0.0

    def replaced_age_s(self, model: str, version: int) -> float:
        """Return how long ago a version newer than ``version`` may have been named.

        :returns: 0 if there is none, :data:`UNKNOWN_AGE_S` if nobody knows.
        """
        newest = self._newest(model)
        if newest is None or newest.version <= version:
            return 0.0
        newer = [n for n in self._named[model] if n.version > version]
        first = newer[0]
        if first.replaced is not None and version < first.replaced:
            # Something older replaced it, at a time nobody told.
            return UNKNOWN_AGE_S
        # What was named later may have become known sooner.
        later = [self._longest_s(n) for n in newer[1:] if n.named_s is not None]
        return max([self._longest_s(first), *later])

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

    def _longest_s(self, naming: _Naming) -> float:
        unseen_s = self._clock() - naming.unseen_since_s
        return max(self._age_s(naming), unseen_s)

    def _find(self, model: str, version: int) -> _Naming | None:
        for naming in self._named.get(model, ()):
            if naming.version == version:
                return naming
        return None

    def _put(self, model: str, naming: _Naming) -> None:
        """Remember a naming in place of what was known of its version."""
        others = [n for n in self._named.get(model, ()) if n.version != naming.version]
        namings = sorted([*others, naming], key=lambda n: n.version)
        self._named[model] = namings[-REMEMBERED_VERSIONS:]

    def _add(self, model: str, naming: _Naming, source: str) -> None:
        known = self._find(model, naming.version)
        if known is not None:
            self._make_older(model, known, naming, source)
            return
        newest = self._newest(model)
        if newest is not None:
            # What it was named in place of is known, or will be read.
            naming = attrs.evolve(naming, replaced=None)
        if newest is not None and naming.version < newest.version:
            self._put_missed(model, naming)
            return
        self._put(model, naming)
        _log.bind(
            model=model,
            version=naming.version,
            before=newest.version if newest else None,
            source=source,
            unseen_s=round(naming.learnt_s - naming.unseen_since_s, 3),
        ).info("Weights named.")
        for listener in self._listeners:
            listener()

    def _put_missed(self, model: str, naming: _Naming) -> None:
        """Remember a naming that became known after a later one.

        Of those before the first that this process knows, nothing is known.
        """
        is_between = naming.version > self._named[model][0].version
        if is_between and naming.named_s is not None:
            self._put(model, naming)

    def _make_older(
        self, model: str, known: _Naming, told: _Naming, source: str
    ) -> None:
        """Correct when a version was named, if it was sooner than believed."""
        if told.named_s is None or known.named_s is None:
            return
        naming = attrs.evolve(
            known,
            named_s=min(known.named_s, told.named_s),
            unseen_since_s=min(known.unseen_since_s, told.unseen_since_s),
        )
        if naming == known:
            return
        before_s = self._longest_s(known)
        self._put(model, naming)
        if self._longest_s(naming) - before_s > LOGGED_CORRECTION_S:
            _log.bind(
                model=model,
                version=naming.version,
                age_s=round(self._longest_s(naming), 3),
                believed_s=round(before_s, 3),
                source=source,
            ).info("Weights were named earlier than believed.")
