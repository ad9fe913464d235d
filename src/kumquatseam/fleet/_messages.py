"""Control messages between routers, and their codec."""

from collections.abc import Mapping, Sequence

import attrs
import xxhash

from kumquatseam.codec import MessageCodec
from kumquatseam.fleet._records import ConfigurationSnapshot

#: number of requests by priority rank.
RankCounts = Mapping[int, int]


@attrs.frozen
class Placement:
    """A routing decision: the first blocks of a prompt and the chosen engine.

    :param opening: block key of the prompt's first blocks.
    :param engine: the engine's name.
    """

    opening: int
    engine: str


@attrs.frozen
class RouterSummary:
    """A router's load and recent routing decisions, sent with heartbeats.

    Engines are listed once, by a short hash (:func:`engine_id`), and referred
    to by index, since a summary goes to every peer several times a second.

    :param engines: ids of the engines referred to.
    :param requests: the router's requests in flight on each engine, in the order
        of ``engines``, by priority rank.
    :param openings: block keys of the prompt openings it routed recently.
    :param placed_on: index in ``engines`` of the engine chosen for each opening.
    """

    engines: tuple[int, ...] = ()
    requests: tuple[dict[int, int], ...] = ()
    openings: tuple[int, ...] = ()
    placed_on: tuple[int, ...] = ()

    @classmethod
    def of(
        cls, loads: Mapping[str, RankCounts], placements: Sequence[Placement]
    ) -> "RouterSummary":
        """Return the summary of ``loads`` and ``placements``."""
        placed = (p.engine for p in placements if p.engine not in loads)
        names = [*loads, *dict.fromkeys(placed)]
        indexes = {name: index for index, name in enumerate(names)}
        return cls(
            engines=tuple(engine_id(name) for name in names),
            requests=tuple(dict(loads.get(name, {})) for name in names),
            openings=tuple(p.opening for p in placements),
            placed_on=tuple(indexes[p.engine] for p in placements),
        )

    def loads(self, names: Mapping[int, str]) -> dict[str, RankCounts]:
        """Return the number of requests in flight by engine and priority rank.

        :param names: engine names by id; engines not in it are omitted.
        """
        pairs = zip(self.engines, self.requests, strict=False)
        return {names[i]: requests for i, requests in pairs if i in names}

    def placements(self, names: Mapping[int, str]) -> list[Placement]:
        """Return the recent routing decisions.

        :param names: engine names by id; engines not in it are omitted.
        """
        found = []
        for opening, index in zip(self.openings, self.placed_on, strict=False):
            if index < len(self.engines) and self.engines[index] in names:
                found.append(Placement(opening, names[self.engines[index]]))
        return found


def engine_id(name: str) -> int:
    """Return the 32-bit id of an engine used in summaries."""
    return xxhash.xxh32_intdigest(name.encode())


@attrs.frozen
class MembershipUpdate:
    """The state of one router as known to another, gossiped on heartbeats.

    :param name: the router's name.
    :param incarnation: the router's incarnation, which only it increments.
    :param state: ``"alive"``, ``"suspect"`` or ``"dead"``.
    """

    name: str
    incarnation: int
    state: str


@attrs.frozen
class Heartbeat:
    """A heartbeat from one router to another.

    :param sender: the sender's name.
    :param address: its control address.
    :param incarnation: the sender's incarnation; a higher one supersedes updates
        about a lower one.
    :param next_offset: offset before which every configuration record is in force
        at the sender.
    :param news: membership updates about other routers.
    :param summary: the sender's load and recent routing decisions.
    """

    sender: str
    address: str
    incarnation: int
    next_offset: int
    news: tuple[MembershipUpdate, ...] = ()
    summary: RouterSummary = RouterSummary()


@attrs.frozen
class QueryRequest:
    """An operator's query.

    :param text: the query, in the operators' query language.
    """

    text: str


@attrs.frozen
class Row:
    """One row of a query result.

    :param cells: cell texts in the order of the subject's columns.
    """

    cells: tuple[str, ...]


@attrs.frozen
class QueryAnswer:
    """One router's answer to a query.

    :param router: the router's name.
    :param next_offset: offset before which every configuration record is in force
        there.
    :param rows: the rows.
    """

    router: str
    next_offset: int
    rows: tuple[Row, ...]


@attrs.frozen
class QueryFault:
    """A router could not answer a query.

    :param router: the router's name.
    :param reason: why it failed.
    """

    router: str
    reason: str


@attrs.frozen
class WarmStateRequest:
    """Request of a restarted router for a peer's record of the engines' caches."""


@attrs.frozen
class EngineBlocks:
    """KV cache blocks that an engine probably holds.

    :param engine: the engine's name.
    :param epoch: the engine epoch in which the blocks were stored; it changes
        when the engine restarts.
    :param keys: block keys, newest last.
    """

    engine: str
    epoch: str
    keys: tuple[int, ...]


@attrs.frozen
class WarmState:
    """A router's record of which KV cache blocks each engine holds.

    :param router: name of the router.
    :param engines: blocks per engine.
    """

    router: str
    engines: tuple[EngineBlocks, ...]


@attrs.frozen
class ConfigurationRequest:
    """Request for the configuration in force at a peer."""


CONTROL_CODEC = MessageCodec(
    "control message",
    {
        "h": Heartbeat,
        "query": QueryRequest,
        "answer": QueryAnswer,
        "fault": QueryFault,
        "warm": WarmStateRequest,
        "state": WarmState,
        "configuration": ConfigurationRequest,
        "snapshot": ConfigurationSnapshot,
    },
    is_compact=True,
)
ControlMessage = (
    Heartbeat
    | QueryRequest
    | QueryAnswer
    | QueryFault
    | WarmStateRequest
    | WarmState
    | ConfigurationRequest
    | ConfigurationSnapshot
)
