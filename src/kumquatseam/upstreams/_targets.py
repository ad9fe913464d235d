"""The weights that upstreams should run, and when they were announced."""

from collections.abc import Callable

import attrs

from kumquatseam.clocks import elapsed_s
from kumquatseam.logs import part_logger
from kumquatseam.upstreams._upstream import WeightsVersion

_log = part_logger("rollout")

#: announcements kept for each model; engines lag by a few versions only.
MAX_KEPT_VERSIONS = 32
#: age of an announcement whose time is unknown.
UNKNOWN_AGE_S = float("inf")
#: corrections of an announcement's age are logged if larger than this.
LOGGED_CORRECTION_S = 0.5


@attrs.frozen
class _Announcement:
    """The announcement of a version as the target of a model.

    :param version: the version.
    :param received_s: when this process received it.
    :param announced_s: the earliest known time at which an instance received it;
        ``None`` if unknown.
    :param unseen_since_s: the earliest time at which it may have been announced
        unnoticed by this process.
    :param replaced: the previous target version, if a peer reported it; this
        process then does not know when versions before it were replaced.
    """

    version: int
    received_s: float
    announced_s: float | None
    unseen_since_s: float
    replaced: int | None = None


class WeightsTargets:
    """The target versions announced for each model, newest last.

    A process that starts reads the newest version without the time of its
    announcement. It assumes an unlimited age until a peer reports one, since the
    grace period of engines with older weights may have ended.

    The age of an announcement is the greatest that any instance reports: an
    instance that receives it late is corrected by its peers, and an age is never
    reduced.

    :param clock: seconds that also pass while the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float] = elapsed_s) -> None:
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []
        #: the announcements for each model, sorted by version.
        self._announcements: dict[str, list[_Announcement]] = {}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever a model gets a new target version."""
        self._listeners.append(listener)

    def add_new(self, weights: WeightsVersion, unseen_s: float = 0.0) -> None:
        """Add weights that were announced just now.

        :param unseen_s: how much earlier they may have been announced without
            being noticed by this process.
        """
        now_s = self._clock()
        announcement = _Announcement(weights.version, now_s, now_s, now_s - unseen_s)
        self._add(weights.model, announcement, "store")

    def add_with_unknown_age(self, weights: WeightsVersion) -> None:
        """Add weights that were announced at an unknown earlier time."""
        now_s = self._clock()
        announcement = _Announcement(weights.version, now_s, None, now_s)
        self._add(weights.model, announcement, "store, read whole")

    def add_from_peer(
        self, weights: WeightsVersion, age_s: float, replaced: int | None = None
    ) -> None:
        """Add weights as a peer reports them.

        :param age_s: minimum age of the announcement, or :data:`UNKNOWN_AGE_S`.
        :param replaced: the previous target version, if known.
        """
        now_s = self._clock()
        announced_s = None if age_s == UNKNOWN_AGE_S else now_s - age_s
        since_s = now_s if announced_s is None else announced_s
        announcement = _Announcement(
            weights.version, now_s, announced_s, since_s, replaced
        )
        known = self._find(weights.model, weights.version)
        if known is not None and known.announced_s is None and announced_s is not None:
            self._store(
                weights.model, attrs.evolve(announcement, received_s=known.received_s)
            )
            return
        self._add(weights.model, announcement, "peer")

    def all(self) -> list[WeightsVersion]:
        """Return the current target weights of each model."""
        return [
            WeightsVersion(model, announcements[-1].version)
            for model, announcements in self._announcements.items()
        ]

    def newest_version(self, model: str) -> int | None:
        """Return the current target version of ``model``, if there is one."""
        newest = self._newest(model)
        return newest.version if newest is not None else None

    def age_s(self, model: str) -> float:
        """Return the minimum age of the current target version of ``model``."""
        newest = self._newest(model)
        return self._age_s(newest) if newest is not None else 0.0

    def known_for_s(self, model: str) -> float:
        """Return how long this process has known the current target version."""
        newest = self._newest(model)
        return self._clock() - newest.received_s if newest is not None else 0.0

    def replaced_age_s(self, model: str, version: int) -> float:
        """Return the maximum time since a version newer than ``version`` was announced.

        :returns: 0 if there is none, :data:`UNKNOWN_AGE_S` if the time is unknown.
        """
        newest = self._newest(model)
        if newest is None or newest.version <= version:
            return 0.0
        newer = [n for n in self._announcements[model] if n.version > version]
        first = newer[0]
        if first.replaced is not None and version < first.replaced:
            # An earlier announcement replaced it, at an unknown time.
            return UNKNOWN_AGE_S
        # A later announcement may have arrived before an earlier one.
        later = [self._max_age_s(n) for n in newer[1:] if n.announced_s is not None]
        return max([self._max_age_s(first), *later])

    def replaced_version(self, model: str) -> int | None:
        """Return the target version before the current one, if known."""
        announcements = self._announcements.get(model, ())
        if len(announcements) > 1:
            return announcements[-2].version
        return announcements[-1].replaced if announcements else None

    def _newest(self, model: str) -> _Announcement | None:
        announcements = self._announcements.get(model)
        return announcements[-1] if announcements else None

    def _age_s(self, announcement: _Announcement) -> float:
        if announcement.announced_s is None:
            return UNKNOWN_AGE_S
        return self._clock() - announcement.announced_s

    def _max_age_s(self, announcement: _Announcement) -> float:
        unseen_s = self._clock() - announcement.unseen_since_s
        return max(self._age_s(announcement), unseen_s)

    def _find(self, model: str, version: int) -> _Announcement | None:
        for announcement in self._announcements.get(model, ()):
            if announcement.version == version:
                return announcement
        return None

    def _store(self, model: str, announcement: _Announcement) -> None:
        """Store an announcement, replacing one of the same version."""
        others = [
            n
            for n in self._announcements.get(model, ())
            if n.version != announcement.version
        ]
        announcements = sorted([*others, announcement], key=lambda n: n.version)
        self._announcements[model] = announcements[-MAX_KEPT_VERSIONS:]

    def _add(self, model: str, announcement: _Announcement, source: str) -> None:
        known = self._find(model, announcement.version)
        if known is not None:
            self._correct_age(model, known, announcement, source)
            return
        newest = self._newest(model)
        if newest is not None:
            # The previous target is known here, or will be read from the log.
            announcement = attrs.evolve(announcement, replaced=None)
        if newest is not None and announcement.version < newest.version:
            self._store_late(model, announcement)
            return
        self._store(model, announcement)
        _log.bind(
            model=model,
            version=announcement.version,
            before=newest.version if newest else None,
            source=source,
            unseen_s=round(announcement.received_s - announcement.unseen_since_s, 3),
        ).info("Weights named.")
        for listener in self._listeners:
            listener()

    def _store_late(self, model: str, announcement: _Announcement) -> None:
        """Store an announcement that arrived after a later one.

        It is ignored if it is older than the first one known to this process.
        """
        is_between = announcement.version > self._announcements[model][0].version
        if is_between and announcement.announced_s is not None:
            self._store(model, announcement)

    def _correct_age(
        self, model: str, known: _Announcement, reported: _Announcement, source: str
    ) -> None:
        """Correct the announcement time of a version if an earlier one was reported."""
        if reported.announced_s is None or known.announced_s is None:
            return
        announcement = attrs.evolve(
            known,
            announced_s=min(known.announced_s, reported.announced_s),
            unseen_since_s=min(known.unseen_since_s, reported.unseen_since_s),
        )
        if announcement == known:
            return
        before_s = self._max_age_s(known)
        self._store(model, announcement)
        if self._max_age_s(announcement) - before_s > LOGGED_CORRECTION_S:
            _log.bind(
                model=model,
                version=announcement.version,
                age_s=round(self._max_age_s(announcement), 3),
                believed_s=round(before_s, 3),
                source=source,
            ).info("Weights were announced earlier than known so far.")
