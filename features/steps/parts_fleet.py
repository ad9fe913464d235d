"""Model of instances and engines, with prompts whose parts crash engines."""

import itertools

import attrs
from quarantine_fleet import (
    CRASHES_AFTER_S,
    FIRST_EVENT_S,
    RUN_DURATION_S,
    QuarantineFleet,
    Run,
)

from kumquatseam.quarantine import PromptParts, QuarantinedError

FIRST_PARTS = ("a0", "a1", "a2", "a3")
OTHER_PARTS = tuple(f"b{number}" for number in range(10))
#: how long a run's events have to come until it did not crash its engine by beginning.
RULED_OUT_AFTER_S = 0.5
#: time until a caller that leaves does so.
LEAVES_AFTER_S = 0.04


@attrs.define
class Sent:
    """A request, and what became of it.

    :param parts: the parts of its prompt but the last.
    :param at_s: when it was sent.
    :param is_bad: whether it has a part that crashes engines.
    :param outcome: ``refused``, ``running``, ``served``, ``interrupted`` or ``left``.
    """

    parts: tuple[str, ...]
    at_s: float
    is_bad: bool
    outcome: str = "running"


class PartsFleet(QuarantineFleet):
    """Instances before engines, and requests whose prompts have shared parts.

    :param share: how often a bad part crashes the engine that begins with it.
    """

    def __init__(self, count, engines, seed=1, share=1.0):
        super().__init__(count, engines, seed)
        self.share = share
        self.bad_parts = set()
        self.sent: list[Sent] = []
        #: when engines crashed under bad parts, and requests with them arrived there.
        self.part_crashes_s = []
        self.part_arrivals_s = []
        self._numbers = itertools.count()

    def send_parts(self, parts, instance=None, engine=None, leaves=False):
        """Send a request that is like no other one; return what becomes of it."""
        parts = tuple(parts)
        is_bad = bool(self.bad_parts & set(parts))
        sent = Sent(parts, self.clock(), is_bad)
        self.sent.append(sent)
        up = self.running_instances()
        engines = [e for e in self.engines if e.is_up]
        if not up or not engines:
            sent.outcome = "no engine"
            return sent
        instance = instance or self.rng.choice(up)
        fingerprint = f"r{next(self._numbers)}"
        try:
            permit = self.admit(instance, fingerprint, parts)
        except QuarantinedError:
            sent.outcome = "refused"
            return sent
        engine = engine or self.rng.choice(engines)
        run = Run(fingerprint, instance, instance.generation, permit, self.clock())
        run.sent = sent
        engine.runs.append(run)
        if is_bad:
            self.part_arrivals_s.append(self.clock())
        if is_bad and self.rng.random() < self.share:
            self.net.call_later(CRASHES_AFTER_S, self._crash_under_part, engine, run)
        else:
            self.net.call_later(RUN_DURATION_S, self._finish_part, engine, run)
            survived_s = FIRST_EVENT_S + RULED_OUT_AFTER_S
            self.net.call_later(survived_s, self._note_survived, engine, run)
        if leaves:
            self.net.call_later(LEAVES_AFTER_S, self._leave, engine, run)
        return sent

    def admit(self, instance, fingerprint, parts):
        """Ask for permission, as the gateway does."""
        own_parts = PromptParts("engines", parts)
        return instance.quarantine.admit(fingerprint, 5.0, own_parts)

    def prompt_parts(self, run):
        return PromptParts("engines", run.sent.parts if run.sent else ())

    def _crash_under_part(self, engine, run):
        if engine.is_up and run.began_s >= engine.began_s:
            self.part_crashes_s.append(self.clock())
            self.crash(engine)

    def _note_survived(self, engine, run):
        """Have the run's instance note that it did not crash its engine."""
        if run in engine.runs:
            note = self.if_running(run.instance, run.instance.quarantine.note_survived)
            note(self.prompt_parts(run), run.permit)

    def _finish_part(self, engine, run):
        if run in engine.runs:
            run.sent.outcome = "served"
            self._finish(engine, run)

    def _leave(self, engine, run):
        """The caller disconnects; the engine may crash under its run all the same."""
        if run in engine.runs:
            engine.runs.remove(run)
            run.sent.outcome = "left"
            notify = self.if_running(run.instance, self._notify_abandoned)
            notify(engine, run)

    def _notify_abandoned(self, engine, run):
        broken = self._interrupted(run, engine.incarnation_id, engine.name, None)
        run.instance.quarantine.note_abandoned(broken)

    def _notify_interrupted(self, engine, incarnation_id, run, age_s):
        if run.sent is None:
            super()._notify_interrupted(engine, incarnation_id, run, age_s)
            return
        run.sent.outcome = "interrupted"
        answering_s = age_s - FIRST_EVENT_S if age_s > FIRST_EVENT_S else None
        broken = self._interrupted(run, incarnation_id, engine.name, answering_s)
        run.instance.quarantine.note_interrupted(broken)

    def late_part_arrivals(self, late_s=3.0):
        """Return the arrivals more than ``late_s`` seconds after the fifth crash."""
        if len(self.part_crashes_s) < 5:
            return []
        from_s = self.part_crashes_s[4] + late_s
        return [at_s for at_s in self.part_arrivals_s if at_s > from_s]

    def sound_since(self, since_s):
        """Return the sound requests sent from some time on."""
        return [s for s in self.sent if not s.is_bad and s.at_s >= since_s]

    # Workloads.

    def sound_parts(self):
        return self.rng.choice(FIRST_PARTS), self.rng.choice(OTHER_PARTS)

    def bad_request_parts(self, place, bad):
        first, other = self.sound_parts()
        return {
            "first": (bad, first, other),
            "middle": (first, bad, other),
            "before the last": (first, other, bad),
        }[place]

    def offer_sound(self, per_s, for_s):
        """Schedule sound requests at random times."""
        self._offer(per_s, for_s, lambda: self.send_parts(self.sound_parts()))

    def offer_bad(self, per_s, for_s, place, bad, leaves=False):
        """Schedule requests with a bad part at random times."""
        self.bad_parts.add(bad)

        def send():
            self.send_parts(self.bad_request_parts(place, bad), leaves=leaves)

        self._offer(per_s, for_s, send)

    def _offer(self, per_s, for_s, send):
        at_s = self.rng.expovariate(per_s)
        while at_s < for_s:
            self.net.call_later(at_s, send)
            at_s += self.rng.expovariate(per_s)
