"""Messages routers send each other, and their codec."""

from collections.abc import Mapping, Sequence

import attrs
import xxhash

from kumquatseam.codec import MessageCodec
from kumquatseam.fleet._records import ConfigurationSnapshot

#: requests by priority rank.
RankCounts = Mapping[int, int]


@attrs.frozen
class Placement:
    """An opening and the engine a router just placed it on.

    :param opening: block key of the opening.
    :param engine: the engine's name.
    """

    opening: int
    engine: str


@attrs.frozen
class RouterSummary:
    """What a router tells its peers about its own work.

    Engines are named once, by a short hash (:func:`engine_id`), and referred
    to by place, since a summary goes to every peer several times a second.

    :param engines: ids of the engines it speaks of.
    :param requests: its requests in flight on each of them, in that order, by
        priority rank.
    :param openings: block keys of the openings it placed lately.
    :param placed_on: the place in ``engines`` each opening went to.
    """

    engines: tuple[int, ...] = ()
    requests: tuple[dict[int, int], ...] = ()
    openings: tuple[int, ...] = ()
    placed_on: tuple[int, ...] = ()

    @classmethod
    def of(
        cls, loads: Mapping[str, RankCounts], placements: Sequence[Placement]
    ) -> "RouterSummary":
        """Return the summary of some loads and placements."""
        placed = (p.engine for p in placements if p.engine not in loads)
        names = [*loads, *dict.fromkeys(placed)]
        places = {name: place for place, name in enumerate(names)}
        return cls(
            engines=tuple(engine_id(name) for name in names),
            requests=tuple(dict(loads.get(name, {})) for name in names),
            openings=tuple(p.opening for p in placements),
            placed_on=tuple(places[p.engine] for p in placements),
        )

    def loads(self, names: Mapping[int, str]) -> dict[str, RankCounts]:
        """Return the requests in flight by engine and rank.

        :param names: engine names by id; others are left out.
        """
        pairs = zip(self.engines, self.requests, strict=False)
        return {names[i]: requests for i, requests in pairs if i in names}

    def placements(self, names: Mapping[int, str]) -> list[Placement]:
        """Return the openings placed lately.

        :param names: engine names by id; others are left out.
        """
        found = []
        for opening, place in zip(self.openings, self.placed_on, strict=False):
            if place < len(self.engines) and self.engines[place] in names:
                found.append(Placement(opening, names[self.engines[place]]))
        return found


def engine_id(name: str) -> int:
    """Return the 32-bit id an engine goes by in summaries."""
    return xxhash.xxh32_intdigest(name.encode())


@attrs.frozen
class MemberNews:
    """What one router believes of another.

    :param name: the member.
    :param incarnation: its life, as it counts them itself.
    :param state: ``"alive"``, ``"suspect"`` or ``"dead"``.
    """

    name: str
    incarnation: int
    state: str


@attrs.frozen
class Heartbeat:
    """A sign of life from one router to another.

    :param sender: the sender's name.
    :param address: its control address.
    :param incarnation: its life; a later one refutes news of an earlier.
    :param next_offset: every configuration record before it is in force there.
    :param news: what it heard of other members lately.
    :param summary: what it tells of its own work.
    """

    sender: str
    address: str
    incarnation: int
    next_offset: int
    news: tuple[MemberNews, ...] = ()
    summary: RouterSummary = RouterSummary()


@attrs.frozen
class QueryRequest:
    """An operator's query.

    :param text: the query in the operators' language.
    """

    text: str


@attrs.frozen
class Row:
    """One row of an answer.

    :param cells: texts in the order of the subject's columns.
    """

    cells: tuple[str, ...]


@attrs.frozen
class QueryAnswer:
    """One router's answer to a query.

    :param router: the router's name.
    :param next_offset: every configuration record before it is in force there.
    :param rows: the rows.
    """

    router: str
    next_offset: int
    rows: tuple[Row, ...]


@attrs.frozen
class QueryFault:
    """A router could not answer a query.

    :param router: the router's name.
    :param reason: why not.
    """

    router: str
    reason: str


@attrs.frozen
class WarmStateRequest:
    """A restarted router asks a peer for what it knows of engines' caches."""


@attrs.frozen
class EngineBlocks:
    """Blocks an engine probably holds.

    :param engine: the engine's name.
    :param epoch: the engine's life they belong to.
    :param keys: block keys, newest last.
    """

    engine: str
    epoch: str
    keys: tuple[int, ...]


@attrs.frozen
class WarmState:
    """What a router knows of engines' caches.

    :param router: whose knowledge it is.
    :param engines: blocks per engine.
    """

    router: str
    engines: tuple[EngineBlocks, ...]


@attrs.frozen
class ConfigurationRequest:
    """A router asks a peer for the configuration in force there."""


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
