"""Orders to engines and what comes back."""

import abc
import enum

import attrs

from kumquatseam.upstreams import Upstream, WeightsNamed


class LoadMode(enum.Enum):
    """What becomes of an engine's runs when it is ordered to load."""

    #: they end first; the engine loads then.
    DRAIN_FIRST = "after_runs"
    #: it loads at once; they go on under the weights loaded.
    IN_PLACE = "under_runs"


@attrs.frozen
class WeightsOrder:
    """An order to run other weights.

    :param weights: the model and the version to run.
    :param holder: the instance that gives the order.
    :param fence: its fencing token.
    :param expected_orders: orders the engine has accepted so far; it refuses
        if there were others, so a late order cannot undo a newer one.
    :param mode: what becomes of its runs.
    """

    weights: WeightsNamed
    holder: str
    fence: int
    expected_orders: int
    mode: LoadMode = LoadMode.DRAIN_FIRST


class OrderOutcome(enum.Enum):
    """How an engine took an order."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_INCARNATION = "other_life"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    UNREACHED = "unreached"


@attrs.frozen
class EngineReport:
    """What an engine says of itself; some hundred milliseconds old.

    :param weights: the weights it runs.
    :param is_busy: whether it carries out an order.
    :param orders_accepted: orders accepted in this incarnation.
    :param waiting: requests in its queue.
    :param running: requests it runs.
    :param born_ms: when this incarnation started, as in
        :class:`~kumquatseam.upstreams.Upstream`.
    """

    weights: tuple[WeightsNamed, ...]
    is_busy: bool
    orders_accepted: int
    waiting: int
    running: int
    born_ms: int = 0


@attrs.frozen
class MovedRun:
    """A run that stopped at one engine and may go on at another.

    :param source: address of the engine it stopped at.
    :param handle: names the copy of its memory; good for one use.
    :param events: events the run had made.
    """

    source: str
    handle: str
    events: int


class OrderClient(abc.ABC):
    """Gives orders to engines, asks how they are, and moves their runs."""

    @abc.abstractmethod
    def order(self, upstream: Upstream, order: WeightsOrder) -> OrderOutcome:
        """Give an order to one engine."""

    @abc.abstractmethod
    def report(self, upstream: Upstream) -> EngineReport | None:
        """Ask an engine how it is; ``None`` if it does not say."""

    @abc.abstractmethod
    def move_run(
        self, source: Upstream, request_id: str, destination: Upstream
    ) -> MovedRun | None:
        """Stop a run and copy its memory to another engine.

        :returns: ``None`` if it was not stopped or cannot go on.
        """
