"""Chooses how an instance learns the load of upstreams, by the size of the fleet."""

import functools
from collections.abc import Callable, Collection, Mapping, Sequence

from kumquatseam.placement import (
    HolderScope,
    PlacementOption,
    RequestWork,
    WorkSource,
    WorkView,
)
from kumquatseam.prompts import PromptChain
from kumquatseam.upstreams import InFlightRequest


class FleetSizeSwitch(WorkSource):
    """Uses one of two sources, depending on the size of the fleet.

    :param is_small: whether the fleet is small enough for broadcasts to all.
    :param direct: the source for small fleets, fed by broadcasts.
    :param load_tracked: returns the source for large fleets, which queries trackers;
        called when the fleet is first large, since small ones start faster without.
    """

    def __init__(
        self,
        is_small: Callable[[], bool],
        direct: WorkSource,
        load_tracked: Callable[[], WorkSource],
    ) -> None:
        self._is_small = is_small
        self._direct = direct
        self._load_tracked = load_tracked

    @functools.cached_property
    def _tracked(self) -> WorkSource:
        return self._load_tracked()

    @property
    def _current(self) -> WorkSource:
        return self._direct if self._is_small() else self._tracked

    def shortlist(
        self, options: Sequence[PlacementOption], already_compared: Collection[str] = ()
    ) -> list[PlacementOption]:
        return self._current.shortlist(options, already_compared)

    def view(self, prompt: PromptChain, scopes: Sequence[HolderScope]) -> WorkView:
        return self._current.view(prompt, scopes)

    def running_on(
        self, incarnation_ids: Sequence[str], max_age_s: float = 0.0
    ) -> Mapping[str, int]:
        return self._current.running_on(incarnation_ids, max_age_s)

    def begin(self, work: RequestWork) -> InFlightRequest:
        return self._current.begin(work)
