"""The upstreams that crashed while running a request or a part."""

from typing import Self

import attrs

#: maximum crashes stored per subject; more would not change any decision.
MAX_CRASHES = 8


@attrs.frozen
class Crashes:
    """Set of upstreams that crashed while running a request, or requests with a part.

    :param upstreams: their incarnation ids, sorted.
    :param on_trial: those that crashed during a trial, when the request ran as the
        only copy in the fleet. Upstreams that each run a copy may crash together
        for another reason; a crash on trial is not such a coincidence.
    :param sampled: those that crashed under a run that began when the part was already
        watched, so that the runs that did not crash their upstreams were counted, too.
    """

    upstreams: tuple[str, ...] = ()
    on_trial: tuple[str, ...] = ()
    sampled: tuple[str, ...] = ()

    @classmethod
    def single(cls, incarnation_id: str, is_on_trial: bool) -> Self:
        """Return the set for a single crashed upstream."""
        names = (incarnation_id,)
        return cls(names, names if is_on_trial else ())

    @classmethod
    def sample(cls, incarnation_id: str) -> Self:
        """Return the set for a single crashed upstream that is sampled."""
        names = (incarnation_id,)
        return cls(names, sampled=names)

    def __bool__(self) -> bool:
        return bool(self.upstreams)

    @property
    def incarnation_ids(self) -> frozenset[str]:
        """The incarnation ids of all crashed upstreams."""
        return frozenset((*self.upstreams, *self.on_trial, *self.sampled))

    @property
    def is_full(self) -> bool:
        """Whether there may be more crashes than are stored."""
        return len(self.upstreams) >= MAX_CRASHES

    def may_contain(self, incarnation_id: str) -> bool:
        """Return whether an upstream may have crashed, even if it is not stored."""
        if incarnation_id in self.incarnation_ids:
            return True
        return self.is_full and incarnation_id > self.upstreams[-1]

    def merged(self, others: Self) -> Self:
        """Return the union of both, limited to the maximum stored per subject.

        The result does not depend on the order of merging, so instances converge on
        the same set.
        """
        return Crashes(
            _merged(self.upstreams, others.upstreams),
            _merged(self.on_trial, others.on_trial),
            _merged(self.sampled, others.sampled),
        )

    def covers(self, others: Self) -> bool:
        """Return whether this set contains all crashes of another."""
        return (
            set(others.upstreams) <= set(self.upstreams)
            and set(others.on_trial) <= set(self.on_trial)
            and set(others.sampled) <= set(self.sampled)
        )

    def without(self, incarnation_ids: set[str]) -> Self:
        """Return the crashes without those of some upstreams."""
        return Crashes(
            tuple(name for name in self.upstreams if name not in incarnation_ids),
            tuple(name for name in self.on_trial if name not in incarnation_ids),
            tuple(name for name in self.sampled if name not in incarnation_ids),
        )


def _merged(first: tuple[str, ...], second: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted({*first, *second})[:MAX_CRASHES])
