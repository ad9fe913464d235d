"""Random changes of limits and faults in a simulated fleet."""

import random

import attrs
from limits_world import LimitFleet

from kumquatseam.upstreams import NO_LIMIT_PER_S

RATES_PER_S = (0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
CHANGES = ("announce", "announce", "end", "new incarnation")
FAULTS = (
    "crash",
    "owner crash",
    "freeze",
    "owner freeze",
    "cut",
    "owner cut",
    "halves",
    "all restart",
    "unknown instances",
)
#: time in which the events of a run happen, and its whole duration, in seconds.
EVENTS_UNTIL_S = 26.0
DURATION_S = 30.0
#: time until a restarted instance has read the list of instances.
LIST_READ_S = 1.0


@attrs.frozen
class Event:
    """A change of a limit, or a fault.

    :param at_s: when it happens.
    :param kind: one of :data:`CHANGES` or :data:`FAULTS`.
    :param engine: the engine that changes, or whose owners fail.
    :param rate_per_s: the limit that the engine announces.
    :param for_s: duration of the fault.
    :param count: number of owners that fail.
    """

    at_s: float
    kind: str
    engine: str
    rate_per_s: float
    for_s: float
    count: int


class LimitExplorer:
    """Plays one random run.

    :param count: number of instances.
    :param seed: determines the run.
    """

    def __init__(self, count, seed):
        self.draw = random.Random(seed)
        engine_count = self.draw.choice((2, 5, 9))
        self.fleet = LimitFleet(count, engine_count, seed)
        self.fleet.net.loss = self.draw.choice((0.0, 0.0, 0.02, 0.1))
        self.fleet.net.duplication = self.draw.choice((0.0, 0.02))
        self.limited = [f"e{n}" for n in range(self.draw.randint(1, engine_count))]
        self.events = self._draw_events()

    def run(self):
        """Play the run; return the fleet for inspection."""
        fleet = self.fleet
        fleet.offer(self.draw.choice((10, 30, 90)), DURATION_S, retries=1)
        fleet.run(2.0)
        fleet.announce(self.limited, self.draw.choice(RATES_PER_S))
        now_s = 2.0
        for event in self.events:
            fleet.run(event.at_s - now_s)
            now_s = event.at_s
            if event.engine in fleet.engines:
                self._apply(event)
        fleet.run(DURATION_S - now_s)
        return fleet

    def _draw_events(self):
        draw = self.draw
        events = [
            Event(
                draw.uniform(3.0, EVENTS_UNTIL_S),
                draw.choice(CHANGES + FAULTS),
                draw.choice(self.limited),
                draw.choice(RATES_PER_S),
                draw.uniform(0.5, 6.0),
                draw.choice((1, 1, 2)),
            )
            for _ in range(draw.randint(2, 6))
        ]
        return sorted(events, key=lambda event: event.at_s)

    def _apply(self, event):
        fleet = self.fleet
        instances = list(fleet.instances.values())
        if event.kind == "announce":
            fleet.announce([event.engine], event.rate_per_s)
        elif event.kind == "end":
            fleet.announce([event.engine], NO_LIMIT_PER_S)
        elif event.kind == "new incarnation":
            fleet.replace_engine(event.engine, f"{event.engine}'")
        elif event.kind == "halves":
            for instance in instances[::2]:
                fleet.cut(instance, "half", event.for_s)
        elif event.kind == "all restart":
            for instance in instances:
                fleet.restart(instance, LIST_READ_S)
        elif event.kind == "unknown instances":
            for instance in self._sample(instances, 3):
                others = [r for r in fleet.records if r != instance.record]
                known = self.draw.sample(others, max(0, len(others) - 2))
                fleet.hide_others(instance, known, event.for_s)
        else:
            self._fail(event, instances)

    def _fail(self, event, instances):
        fleet = self.fleet
        if event.kind.startswith("owner"):
            failing = fleet.owners_of(event.engine)[: event.count]
        else:
            failing = self._sample(instances, 5)
        for instance in failing:
            if event.kind.endswith("crash"):
                fleet.crash(instance, event.for_s, LIST_READ_S)
            elif event.kind.endswith("freeze"):
                fleet.freeze(instance, event.for_s)
            else:
                fleet.cut(instance, instance.record.name, event.for_s)

    def _sample(self, instances, share):
        return self.draw.sample(instances, max(1, len(instances) // share))
