"""Steps for requests to the router's own interface that crash back ends."""

import contextlib
import json
import threading
import time

from behave import given, then, when
from control_steps import step_controlled_fleet
from crash_steps import CallResult
from fleet_steps import HTTP, post_completion, prompt_of, wait_for

from kumquatseam.bench._processes import ProgramNotReadyError

CRASHING = "crashing"
#: interval between two crashing requests, in seconds.
SEND_INTERVAL_S = 0.4
#: interval at which the supervisor checks for crashed back ends, in seconds.
POLL_INTERVAL_S = 0.05
#: delay before the supervisor restarts a crashed back end, in seconds.
RESTART_DELAY_S = 0.4


class Supervisor(threading.Thread):
    """Restarts crashed back ends and counts the crashes.

    :param list_programs: returns all supervised programs by name.
    :param restart: restarts the program with the given name.
    """

    def __init__(self, list_programs, restart):
        super().__init__(daemon=True)
        self._list_programs = list_programs
        self._restart = restart
        self._is_closing = threading.Event()
        self._restarts = {}
        self.crashes = 0

    def run(self):
        while not self._is_closing.wait(POLL_INTERVAL_S):
            for name, program in self._list_programs().items():
                restart_thread = self._restarts.get(name)
                is_starting = restart_thread is not None and restart_thread.is_alive()
                if program.has_ended() and not is_starting:
                    self.crashes += 1
                    thread = threading.Thread(
                        target=self._restart_after_delay, args=(name,)
                    )
                    self._restarts[name] = thread
                    thread.start()

    def _restart_after_delay(self, name):
        self._is_closing.wait(RESTART_DELAY_S)
        if not self._is_closing.is_set():
            # A program that crashes before it is ready is detected by the next check.
            with contextlib.suppress(ProgramNotReadyError):
                self._restart(name)

    def close(self):
        self._is_closing.set()
        self.join()
        for thread in self._restarts.values():
            thread.join()


@given(
    "a fleet of {routers:d} routers and {engines:d} engines that a prompt crashes, "
    "which start again"
)
def step_engines(context, routers, engines):
    options = {"crashes_on": CRASHING}
    step_controlled_fleet(context, routers, engines, engine_options=options)
    fleet = context.fleet

    def list_programs():
        return {index: e.program for index, e in enumerate(fleet.engines)}

    context.supervisor = Supervisor(list_programs, fleet.restart_engine)
    context.supervisor.start()
    context.results = []


@when("routers are sent that prompt {count:d} times, each in turn")
def step_prompts(context, count):
    for number in range(count):
        router = number % len(context.fleet.routers)
        started_s = time.monotonic()
        prompt = f"{CRASHING} {prompt_of(8)}"
        response = post_completion(context, "key-alpha", prompt, False, 4, router)
        body = json.loads(response.read())
        result = CallResult(started_s, response.status, time.monotonic() - started_s)
        context.results.append((result, body))
        time.sleep(max(0.0, started_s + SEND_INTERVAL_S - time.monotonic()))


@then("at most {most:d} of them crashed")
def step_few_crashes(context, most):
    assert context.supervisor.crashes >= 2, context.results
    assert context.supervisor.crashes <= most, context.supervisor.crashes


@then("the last {count:d} callers were told at once that it was not run")
def step_refused(context, count):
    for result, body in context.results[-count:]:
        assert result.status == 503, (result, body)
        assert result.took_s < 0.25, result
        assert body["error"]["run"] == "not_run", body


@then("other prompts are answered")
def step_others(context):
    def is_answered():
        response = post_completion(context, "key-alpha", prompt_of(9), False, 4)
        response.read()
        return response.status == 200

    wait_for(is_answered, "another prompt to be answered")


@given(
    "a fleet of {routers:d} routers in front of a plain service of {count:d} "
    "replicas that a call crashes, which start again"
)
def step_services(context, routers, count):
    step_controlled_fleet(context, routers, 1, services=count)
    fleet = context.fleet
    arm = lambda url: HTTP.request(  # noqa: E731
        "PUT",
        f"{url}/standin/faults",
        body=json.dumps({"crashes_on": CRASHING}).encode(),
    )
    for url in fleet.services:
        arm(url)

    def list_programs():
        return dict(zip(fleet.services, fleet.service_programs, strict=True))

    def restart(url):
        fleet.restart_service(url)
        arm(url)

    context.supervisor = Supervisor(list_programs, restart)
    context.supervisor.start()
    context.results = []


@when("routers are sent that call {count:d} times, each in turn")
def step_calls(context, count):
    for number in range(count):
        router = context.fleet.routers[number % len(context.fleet.routers)]
        started_s = time.monotonic()
        response = HTTP.request(
            "GET",
            f"{router.url}/services/portal/{CRASHING}",
            headers={"Authorization": "Bearer key-alpha"},
        )
        result = CallResult(started_s, response.status, time.monotonic() - started_s)
        context.results.append((result, json.loads(response.data)))
        time.sleep(max(0.0, started_s + SEND_INTERVAL_S - time.monotonic()))


@then("other calls are answered")
def step_other_calls(context):
    response = HTTP.request(
        "GET",
        f"{context.fleet.routers[0].url}/services/portal/harmless",
        headers={"Authorization": "Bearer key-alpha"},
    )
    assert response.status == 200, response.status
