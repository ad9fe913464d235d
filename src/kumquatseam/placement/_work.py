"""The outstanding work on upstreams that is known when a request is placed.

Each instance knows its own requests. The requests of other instances on an upstream,
and the prompt parts that it holds, come from a :class:`WorkSource`: in a small fleet
every instance broadcasts them (:class:`BroadcastWork`), in a large one a few
instances are queried.
"""

import abc
import math
from collections.abc import Callable, Collection, Mapping, Sequence

import attrs

from kumquatseam.peers import UpstreamLoad
from kumquatseam.placement._choice import RANK_MS
from kumquatseam.prompts import PartHolders, PromptChain, PromptIndex
from kumquatseam.upstreams import InFlightRequest, UpstreamDirectory, UpstreamStatus


@attrs.frozen
class PlacementOption:
    """An upstream that may take a request, before the work on it is known.

    :param status: the upstream.
    :param version: version of the weights that it would use, if any.
    :param rank: its place in the prompt's rendezvous order of upstreams, from 0.
    :param penalty_ms: cost of its drawbacks, as a wait.
    :param max_modelled_wait_ms: longest modelled wait after which the request may still
        start on its weights.
    """

    status: UpstreamStatus
    version: int | None = None
    rank: int = 0
    penalty_ms: float = 0.0
    max_modelled_wait_ms: float = math.inf

    @property
    def incarnation_id(self) -> str:
        """The incarnation of the upstream."""
        return self.status.upstream.incarnation_id

    @property
    def static_cost_ms(self) -> float:
        """Cost that does not depend on its load, as a wait."""
        return self.penalty_ms + self.rank * RANK_MS


@attrs.frozen
class HolderScope:
    """A holder of prompt parts, and the scope in which its parts are valid.

    :param holder: an engine's incarnation, or a store's address.
    :param salt: the scope.
    """

    holder: str
    salt: str


@attrs.frozen
class OutstandingWork:
    """The outstanding work of all instances on one upstream.

    :param running: requests on it.
    :param pending_tokens: prompt tokens that it still has to prefill for them.
    :param memory_tokens: memory that they take, in tokens; 0 if unknown.
    """

    running: int = 0
    pending_tokens: int = 0
    memory_tokens: int = 0


@attrs.frozen
class RequestWork:
    """The work that a request about to be sent adds to an upstream.

    :param status: the upstream.
    :param salt: the scope of its cached parts.
    :param prompt: its prompt.
    :param cache_target: the store that its computed parts are sent to; ``""`` for none.
    :param pending_tokens: prompt tokens to prefill for it.
    :param own_tokens: memory that it takes beyond the parts that requests share.
    :param max_duration_s: longest time that it may run.
    """

    status: UpstreamStatus
    salt: str = ""
    prompt: PromptChain = PromptChain()
    cache_target: str = ""
    pending_tokens: int = 0
    own_tokens: int = 0
    max_duration_s: float = 0.0


class WorkView(abc.ABC):
    """The work and the cached parts on some upstreams, as seen by one request."""

    @abc.abstractmethod
    def work_on(self, status: UpstreamStatus) -> OutstandingWork:
        """Return the outstanding work on an upstream."""

    @abc.abstractmethod
    def knows(self, status: UpstreamStatus) -> bool:
        """Return whether the work of other instances on an upstream is known."""

    @abc.abstractmethod
    def holders(self, salt: str) -> PartHolders:
        """Return how much of the request's prompt each holder has within a scope."""

    @abc.abstractmethod
    def kept_s(self, holder: str) -> float:
        """Return how long a holder retains a part that no request uses."""


class WorkSource(abc.ABC):
    """Source of the work that other instances have on upstreams."""

    @abc.abstractmethod
    def shortlist(
        self, options: Sequence[PlacementOption], already_compared: Collection[str] = ()
    ) -> list[PlacementOption]:
        """Return the options to compare, with the ranks to compare them by.

        :param already_compared: upstreams found unsuitable by an earlier comparison;
            the result is empty if there are no others.
        """

    @abc.abstractmethod
    def view(self, prompt: PromptChain, scopes: Sequence[HolderScope]) -> WorkView:
        """Return a view of the holders in ``scopes`` for ``prompt``."""

    @abc.abstractmethod
    def running_on(
        self, incarnation_ids: Sequence[str], max_age_s: float = 0.0
    ) -> Mapping[str, int]:
        """Return the number of requests on each of some upstreams.

        :param max_age_s: greatest age of a cached number.
        """

    @abc.abstractmethod
    def begin(self, work: RequestWork) -> InFlightRequest:
        """Count a request that is about to be sent."""


class BroadcastWork(WorkSource):
    """Work known from the broadcasts of all other instances.

    :param directory: this process's own requests.
    :param index: the prompt parts that upstreams hold.
    :param peer_loads: returns the load of the other instances on an upstream.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        index: PromptIndex,
        peer_loads: Callable[[str], UpstreamLoad] = lambda i: UpstreamLoad(i, 0),
    ) -> None:
        self._directory = directory
        self._index = index
        self._peer_loads = peer_loads

    def shortlist(
        self, options: Sequence[PlacementOption], already_compared: Collection[str] = ()
    ) -> list[PlacementOption]:
        return [] if already_compared else list(options)

    def view(self, prompt: PromptChain, scopes: Sequence[HolderScope]) -> WorkView:
        return _DirectView(self._index, self._peer_loads, prompt)

    def running_on(
        self, incarnation_ids: Sequence[str], max_age_s: float = 0.0
    ) -> Mapping[str, int]:
        found = {}
        for incarnation_id in incarnation_ids:
            status = self._directory.status(incarnation_id)
            own = status.running if status is not None else 0
            found[incarnation_id] = own + self._peer_loads(incarnation_id).running
        return found

    def begin(self, work: RequestWork) -> InFlightRequest:
        self._index.note_prefill(
            work.status.upstream.incarnation_id,
            work.salt,
            work.prompt,
            work.cache_target,
        )
        return self._directory.begin(work.status, work.pending_tokens)


class _DirectView(WorkView):
    def __init__(
        self,
        index: PromptIndex,
        peer_loads: Callable[[str], UpstreamLoad],
        prompt: PromptChain,
    ) -> None:
        self._index = index
        self._peer_loads = peer_loads
        self._prompt = prompt

    def work_on(self, status: UpstreamStatus) -> OutstandingWork:
        peers = self._peer_loads(status.upstream.incarnation_id)
        return OutstandingWork(
            status.running + peers.running,
            status.pending_tokens + peers.pending_tokens,
        )

    def knows(self, status: UpstreamStatus) -> bool:
        return True

    def holders(self, salt: str) -> PartHolders:
        return self._index.look_up(salt, self._prompt)

    def kept_s(self, holder: str) -> float:
        return self._index.kept_s(holder)
