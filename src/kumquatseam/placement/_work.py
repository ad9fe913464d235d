"""What is known of the work on upstreams when a request is placed.

Each instance knows its own requests. What the others have on an upstream, and
which prompt parts it keeps, comes from a :class:`WorkSource`: in a small fleet
everyone is told everything (:class:`BroadcastWork`), in a large one a few instances
are asked.
"""

import abc
import math
from collections.abc import Callable, Collection, Mapping, Sequence

import attrs

from kumquatseam.peers import UpstreamLoad
from kumquatseam.placement._choice import RANK_MS
from kumquatseam.prompts import PartHolders, PromptChain, PromptIndex
from kumquatseam.upstreams import Occupancy, UpstreamDirectory, UpstreamStatus


@attrs.frozen
class PlacementOption:
    """An upstream that may take a request, before the work on it is known.

    :param status: the upstream.
    :param version: the weights it would run the request on, if any.
    :param rank: its place in the prompt's own order of upstreams, from 0.
    :param penalty_ms: what speaks against it, as a wait.
    :param begin_within_ms: longest modelled wait after which the request may still
        begin on its weights.
    """

    status: UpstreamStatus
    version: int | None = None
    rank: int = 0
    penalty_ms: float = 0.0
    begin_within_ms: float = math.inf

    @property
    def incarnation_id(self) -> str:
        """The incarnation of the upstream."""
        return self.status.upstream.incarnation_id

    @property
    def static_cost_ms(self) -> float:
        """What speaks against it however little work it has."""
        return self.penalty_ms + self.rank * RANK_MS


@attrs.frozen
class HolderScope:
    """A holder of prompt parts, and the scope in which its parts are of use.

    :param holder: an engine's incarnation, or a store's address.
    :param salt: the scope.
    """

    holder: str
    salt: str


@attrs.frozen
class OutstandingWork:
    """The work of all instances on one upstream.

    :param running: requests on it.
    :param pending_tokens: prompt tokens it still has to read for them.
    :param memory_tokens: memory they take, in tokens; 0 if nobody knows.
    """

    running: int = 0
    pending_tokens: int = 0
    memory_tokens: int = 0


@attrs.frozen
class RequestWork:
    """A request that is about to be sent to an upstream.

    :param status: the upstream.
    :param salt: the scope of its cached parts.
    :param prompt: its prompt.
    :param cache_target: the store that takes the parts it reads; ``""`` for none.
    :param pending_tokens: prompt tokens to read for it.
    :param own_tokens: memory it takes beyond the parts that requests share.
    :param lasts_s: how long it lasts at most.
    """

    status: UpstreamStatus
    salt: str = ""
    prompt: PromptChain = PromptChain()
    cache_target: str = ""
    pending_tokens: int = 0
    own_tokens: int = 0
    lasts_s: float = 0.0


class WorkView(abc.ABC):
    """What is known of some upstreams, for one request."""

    @abc.abstractmethod
    def work_on(self, status: UpstreamStatus) -> OutstandingWork:
        """Return the work on an upstream."""

    @abc.abstractmethod
    def holders(self, salt: str) -> PartHolders:
        """Return who holds how much of the request's prompt within a scope."""

    @abc.abstractmethod
    def kept_s(self, holder: str) -> float:
        """Return how long a holder keeps a part that nobody asks for."""


class WorkSource(abc.ABC):
    """Where the work of other instances is known from."""

    @abc.abstractmethod
    def shortlist(
        self, options: Sequence[PlacementOption], already_compared: Collection[str] = ()
    ) -> list[PlacementOption]:
        """Return the options to compare, with the ranks they count with.

        :param passed: upstreams that were compared before, and are not good
            enough; nothing is returned when there are no others.
        """

    @abc.abstractmethod
    def view(self, prompt: PromptChain, scopes: Sequence[HolderScope]) -> WorkView:
        """Return what is known of holders of parts of ``prompt``."""

    @abc.abstractmethod
    def running_on(
        self, incarnation_ids: Sequence[str], max_age_s: float = 0.0
    ) -> Mapping[str, int]:
        """Return how many requests each of some upstreams has.

        :param max_age_s: how old the answer may be.
        """

    @abc.abstractmethod
    def begin(self, work: RequestWork) -> Occupancy:
        """Count a request that is about to be sent."""


class BroadcastWork(WorkSource):
    """Every instance is told what every other one does.

    :param directory: this process's own requests.
    :param index: the prompt parts that upstreams hold.
    :param peer_loads: what the other instances have on an upstream.
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

    def begin(self, work: RequestWork) -> Occupancy:
        self._index.note_read(
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

    def holders(self, salt: str) -> PartHolders:
        return self._index.look_up(salt, self._prompt)

    def kept_s(self, holder: str) -> float:
        return self._index.kept_s(holder)
