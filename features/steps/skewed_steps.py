"""Steps for most new connections at one gateway, with real processes."""

import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import attrs
from behave import given, then, when
from platform_replica import SIGNATURE
from platform_steps import step_platform
from platform_world import KEY, wait_until

from kumquatseam.bench import free_port

PROGRAMS = Path(__file__).parent.parent / "programs"
#: period at which a gateway is stopped and continued, to have a share of a processor.
SHARE_PERIOD_S = 0.02
#: from this long after the connections are skewed on, requests count.
SETTLED_S = 3.0


@attrs.frozen
class Try:
    """One try of a request.

    :param status: 0 if no byte of an answer came.
    """

    sent_s: float
    number: int
    gateway: int
    took_s: float
    status: int

    @classmethod
    def parse(cls, line):
        sent, number, gateway, took, status = line.split()
        return cls(float(sent), int(number), int(gateway), float(took), int(status))


class ProcessorShare:
    """Gives processes a share of a processor by stopping them in between.

    :param processes: the processes.
    :param share: which part of the time they run.
    """

    def __init__(self, processes, share):
        self._processes = processes
        self._share = share
        self._is_closed = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def close(self):
        """Let them run all the time again."""
        self._is_closed.set()
        self._thread.join()

    def _run(self):
        while not self._is_closed.wait(SHARE_PERIOD_S * self._share):
            self._signal(signal.SIGSTOP)
            time.sleep(SHARE_PERIOD_S * (1.0 - self._share))
            self._signal(signal.SIGCONT)

    def _signal(self, number):
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(number)


@given(
    "{gateways:d} gateways with {share:g} of a processor each, in front of {count:d} "
    "fast replicas"
)
def step_gateways(context, gateways, share, count):
    step_platform(context)
    world = context.platform
    world.add_route("/safe/", "idempotent", "plain")
    world.put_configuration()
    for number in range(count):
        _add_fast_replica(world, f"f{number}")
    for _ in range(gateways):
        world.add_gateway(wait=False)
    for gateway in world.gateways:
        wait_until("the gateway is ready", gateway.is_ready, 30.0)
        wait_until("it serves", lambda: world.send("/safe/x").status == 200, 30.0)
    wait_until("all know each other", world.all_know_each_other, 30.0)
    throttle = ProcessorShare([g.process for g in world.gateways], share)
    throttle.start()
    world.on_close.append(throttle.close)


def _add_fast_replica(world, upstream_id):
    port = free_port()
    program = subprocess.Popen(
        [
            sys.executable,
            str(PROGRAMS / "fast_replica.py"),
            str(port),
            upstream_id,
            SIGNATURE,
        ]
    )

    def close():
        program.kill()
        program.wait()

    world.on_close.append(close)
    entry = world.add_replica("plain", upstream_id, is_listed=False)
    world.list_replica(upstream_id, address=f"127.0.0.1:{port}", slots=2000)
    return entry


@when(
    "callers send {rate:d} a second to all for {before_s:d} seconds, then {peak:d} a "
    "second for {peak_s:d} seconds, {share:g} of them to the first"
)
def step_callers(context, rate, before_s, peak, peak_s, share):
    world = context.platform
    ports = [str(gateway.ports["front"]) for gateway in world.gateways]
    numbers = (before_s, rate, peak_s, peak, share, 1)
    callers = subprocess.run(
        [
            sys.executable,
            str(PROGRAMS / "skewed_callers.py"),
            *map(str, numbers),
            KEY,
            *ports,
        ],
        stdout=subprocess.PIPE,
        text=True,
        timeout=before_s + peak_s + 60,
        check=True,
    )
    *lines, last = callers.stdout.splitlines()
    context.tries = [Try.parse(line) for line in lines]
    context.peak_from_s = float(last.split()[1]) + before_s


@when(
    "the first one may have {limit:d} descriptors, and {count:d} connections to it "
    "stay idle"
)
def step_idle(context, limit, count):
    world = context.platform
    gateway = world.gateways[0]
    resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
    address = ("127.0.0.1", gateway.ports["front"])
    idle = [socket.create_connection(address) for _ in range(count)]
    world.on_close.append(lambda: [connection.close() for connection in idle])


def _served_share(tries):
    served = sum(t.status == 200 for t in tries)
    return served / max(1, len(tries))


@then(
    "of the first tries that the first gateway read at least {ratio:g} times as many "
    "were served as before"
)
def step_read(context, ratio):
    read = [t for t in context.tries if t.number == 1 and not t.gateway and t.status]
    before = [t for t in read if t.sent_s < context.peak_from_s]
    late = [t for t in read if t.sent_s >= context.peak_from_s + SETTLED_S]
    assert len(before) >= 20 and len(late) >= 20, (len(before), len(late))
    shares = _served_share(before), _served_share(late)
    assert shares[1] >= ratio * shares[0], (shares, len(before), len(late))


@then("in the end at least {share:g} of all requests were served")
def step_in_the_end(context, share):
    requests = {}
    for one_try in context.tries:
        key = one_try.sent_s
        requests[key] = requests.get(key, False) or one_try.status == 200
    served = sum(requests.values()) / len(requests)
    assert served >= share, (served, len(requests))


@then("no gateway failed to open a connection for want of descriptors")
def step_descriptors(context):
    failed = [
        line
        for gateway in context.platform.gateways
        for line in gateway.lines()
        if "EMFILE" in str(line) or "Too many open files" in str(line)
    ]
    assert not failed, (len(failed), failed[:2])
