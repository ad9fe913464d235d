"""Steps for troubles of gateways and replicas that overlap."""

import random
import signal
import threading
import time

from behave import when
from broken_answers_steps import PLAIN_BODY, Answer, _ask, start_again
from cut_proxy import LIVE_ON, RESET, SILENT
from platform_replica import ENDS_INSIDE
from upstream_wishes_steps import PATHS, Sent

REQUESTS_PER_S = 30


class Troubles:
    """Draws troubles, one after the other.

    :param context: the scenario's.
    :param draw: a random number generator.
    """

    def __init__(self, context, draw):
        self.context = context
        self.world = context.platform
        self.draw = draw
        self.threads = []
        self._down = set()
        self._due = []
        self.kinds = (
            self.cut,
            self.heal,
            self.end_gateway,
            self.leave,
            self.rest,
            self.start_again,
            self.change_framing,
            self.end_inside,
            self.list_again,
        )

    def next(self):
        if not self._due:
            # Each kind comes once before any comes again.
            self._due = self.draw.sample(self.kinds, len(self.kinds))
        self._due.pop()()

    def _replica(self):
        return self.draw.choice(list(self.world.replicas.values()))

    def cut(self):
        """Cut a gateway from all replicas; at least one stays as it is."""
        gateway = self.draw.choice(self.world.gateways[1:])
        how = self.draw.choice((RESET, SILENT, LIVE_ON))
        for proxy in self.context.proxies:
            proxy.cut(gateway.process.pid, how)

    def heal(self):
        for proxy in self.context.proxies:
            proxy.heal()

    def end_gateway(self):
        gateway = self.draw.choice(self.world.gateways)
        if gateway in self._down:
            return
        self._down.add(gateway)
        number = self.draw.choice((signal.SIGKILL, signal.SIGTERM))
        gateway.process.send_signal(number)
        self.threads.append(threading.Thread(target=self._bring_back, args=(gateway,)))
        self.threads[-1].start()

    def _bring_back(self, gateway):
        start_again(self.context, gateway)
        time.sleep(1.0)
        self._down.discard(gateway)

    def leave(self):
        self._replica().says_leaving = True

    def rest(self):
        replica = self._replica()
        replica.rest = f"{self.draw.uniform(0.6, 3.0):.2f}"
        threading.Timer(self.draw.uniform(0.5, 1.5), self._serve, (replica,)).start()

    def _serve(self, replica):
        replica.rest = None

    def start_again(self):
        replica = self._replica()
        replica.restart(is_reset=True)
        replica.says_leaving, replica.rest = False, None
        self._list(replica)

    def change_framing(self):
        replica = self._replica()
        replica.is_unframed = not replica.is_unframed

    def end_inside(self):
        self._replica().script.append(self.draw.choice(list(ENDS_INSIDE)))

    def list_again(self):
        self._list(self._replica())

    def _list(self, replica):
        names = list(self.world.replicas)
        proxy = self.context.proxies[names.index(replica.upstream_id)]
        self.world.list_replica(replica.upstream_id, address=proxy.address)


@when("random troubles of seed {seed:d} overlap for {for_s:d} seconds")
def step_overlap(context, seed, for_s):
    world, draw = context.platform, random.Random(seed)
    context.leaving = context.resting = list(world.replicas)
    for replica in world.replicas.values():
        replica.pieces = PLAIN_BODY.splitlines(keepends=True)
        replica.event_pause_s = 0.03
    troubles = Troubles(context, draw)
    context.answers, context.sent, threads = [], {}, []
    end_s = time.monotonic() + for_s
    next_s = time.monotonic() + 1.0
    while time.monotonic() < end_s:
        if time.monotonic() >= next_s:
            next_s += draw.uniform(0.1, 0.6)
            troubles.next()
        answer = Answer(draw.choice(PATHS), False)
        context.answers.append(answer)
        number = len(context.answers)
        context.sent[f"r{number}"] = Sent(time.monotonic(), answer.path)
        arguments = (world, answer, draw.randrange(len(world.gateways)), number)
        threads.append(threading.Thread(target=_ask, args=arguments))
        threads[-1].start()
        time.sleep(1 / REQUESTS_PER_S)
    for thread in threads + troubles.threads:
        thread.join()
