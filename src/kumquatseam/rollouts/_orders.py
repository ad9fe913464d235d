"""Orders to engines, and their outcomes and reports."""

import abc
import enum

import attrs

from kumquatseam.upstreams import Upstream, WeightsVersion


class LoadMode(enum.Enum):
    """What happens to an engine's runs when it is ordered to load."""

    #: the engine finishes its runs before it loads.
    DRAIN_FIRST = "after_runs"
    #: the engine loads immediately; its runs continue on the new weights.
    IN_PLACE = "under_runs"


@attrs.frozen
class WeightsOrder:
    """An order to an engine to load weights.

    :param weights: the model and the version to run.
    :param holder: the instance that sends the order.
    :param fence: its fencing token.
    :param expected_orders: how many orders the engine has accepted so far; it refuses
        the order if its own count differs, so a late order cannot undo a newer one.
    :param mode: what happens to its runs.
    """

    weights: WeightsVersion
    holder: str
    fence: int
    expected_orders: int
    mode: LoadMode = LoadMode.DRAIN_FIRST


class OrderOutcome(enum.Enum):
    """The result of sending an order to an engine.

    ``OTHER_INCARNATION``: the engine has restarted since the order was addressed.
    """

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
    """An engine's report of its state; some hundred milliseconds old.

    :param weights: the weights it runs.
    :param is_busy: whether it is executing an order.
    :param orders_accepted: orders accepted in this incarnation.
    :param waiting: requests in its queue.
    :param running: requests it is executing.
    :param born_ms: when this incarnation started, as in
        :class:`~kumquatseam.upstreams.Upstream`.
    """

    weights: tuple[WeightsVersion, ...]
    is_busy: bool
    orders_accepted: int
    waiting: int
    running: int
    born_ms: int = 0


@attrs.frozen
class MovedRun:
    """A run that was stopped on one engine and can go on there or on another.

    :param source: address of the engine it was stopped on.
    :param handle: identifies its KV cache and the copy; valid for one use.
    :param events: how many events the run had produced.
    """

    source: str
    handle: str
    events: int


class MoveOutcome(enum.Enum):
    """What became of a call that moves a run.

    ``UNANSWERED``: it may have taken effect, or may still do so.
    """

    #: the memory is copied; the run has stopped if that was asked for.
    DONE = "done"
    #: the destination has no room or is not reached. With a handle the run has stopped.
    NO_ROOM = "no_room"
    #: another call for the run is in progress.
    IN_PROGRESS = "in_progress"
    #: the engine has no such run.
    ENDED = "ended"
    #: the engine refuses, or wants no calls now.
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@attrs.frozen
class MoveResult:
    """The result of a call that moves a run.

    :param outcome: what became of it.
    :param handle: identifies the run's memory; ``""`` if none is known.
    :param events: how many events the run had produced.
    """

    outcome: MoveOutcome
    handle: str = ""
    events: int = 0


class OrderClient(abc.ABC):
    """Sends orders to engines, fetches their reports, and moves their runs."""

    def start(self) -> None:  # noqa: B027 - most open connections on demand
        """Prepare to be used."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close every idle connection."""

    @abc.abstractmethod
    def order(self, upstream: Upstream, order: WeightsOrder) -> OrderOutcome:
        """Send an order to one engine."""

    @abc.abstractmethod
    def report(self, upstream: Upstream) -> EngineReport | None:
        """Fetch an engine's report; ``None`` if it sends none."""

    @abc.abstractmethod
    def move_run(
        self,
        source: Upstream,
        request_id: str,
        destination: Upstream,
        stops_run: bool,
    ) -> MoveResult:
        """Copy a run's KV cache to another engine, or what was added since a copy.

        The copy takes a place there until the run goes on from it, or it is freed.

        :param stops_run: whether the run stops first; otherwise it goes on meanwhile.
        """

    @abc.abstractmethod
    def free_run(self, source: Upstream, handle: str) -> None:
        """Free the memory of a run that was copied, and its copy."""
