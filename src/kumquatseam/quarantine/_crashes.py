"""The upstreams that crashed while running a request."""

from typing import Self

import attrs

#: maximum crashes stored per request; more would not change any decision.
MAX_CRASHES = 8


@attrs.frozen
class Crashes:
    """Set of upstreams that crashed while running a request.

    :param upstreams: their incarnation ids, sorted.
    :param on_trial: those that crashed during a trial, when the request ran as the
        only copy in the fleet. Upstreams that each run a copy may crash together
        for another reason; a crash on trial is not such a coincidence.
    """

    upstreams: tuple[str, ...] = ()
    on_trial: tuple[str, ...] = ()

    @classmethod
    def single(cls, incarnation_id: str, is_on_trial: bool) -> Self:
        """Return the set for a single crashed upstream."""
        names = (incarnation_id,)
        return cls(names, names if is_on_trial else ())

    def __bool__(self) -> bool:
        return bool(self.upstreams)

    @property
    def incarnation_ids(self) -> frozenset[str]:
        """The incarnation ids of all crashed upstreams."""
        return frozenset((*self.upstreams, *self.on_trial))

    def merged(self, others: Self) -> Self:
        """Return the union of both, limited to the maximum stored per request.

        The result does not depend on the order of merging, so instances converge on
        the same set.
        """
        return Crashes(
            _merged(self.upstreams, others.upstreams),
            _merged(self.on_trial, others.on_trial),
        )

    def covers(self, others: Self) -> bool:
        """Return whether this set contains all crashes of another."""
        return set(others.upstreams) <= set(self.upstreams) and set(
            others.on_trial
        ) <= set(self.on_trial)

    def without(self, incarnation_ids: set[str]) -> Self:
        """Return the crashes without those of some upstreams."""
        return Crashes(
            tuple(name for name in self.upstreams if name not in incarnation_ids),
            tuple(name for name in self.on_trial if name not in incarnation_ids),
        )

    def outweighs(self, others: Self) -> bool:
        """Return whether this is stronger evidence, trials counting first."""
        return self._weight() > others._weight()

    def _weight(self) -> tuple[int, int]:
        return len(self.on_trial), len(self.upstreams)


def _merged(first: tuple[str, ...], second: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted({*first, *second})[:MAX_CRASHES])
