"""Steps for the explain command."""

import contextlib
import json
import subprocess
import sys

import urllib3
from behave import then, when
from platform_world import wait_until


@when('request "{request_id}" is refused by every replica')
def step_refused(context, request_id):
    for replica in context.platform.replicas.values():
        replica.script.extend(["refuse"] * 5)
    context.platform.send(request_id=request_id)


@when('request "{request_id}" is sent to a replica that resets the connection')
def step_reset(context, request_id):
    context.platform.replicas["p0"].script.append("reset")
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        context.platform.send(request_id=request_id)


@when('request "{request_id}" is sent to a replica that breaks off a large body')
def step_broken_off(context, request_id):
    context.platform.replicas["p0"].script.append("large break")
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        context.platform.send(request_id=request_id)


@when('request "{request_id}" is streamed')
def step_streamed(context, request_id):
    world = context.platform
    world.send("/once/x", headers=world.stream_headers(), request_id=request_id)


def _explain(context, request_id, *options):
    files = [str(gateway.log_path) for gateway in context.platform.gateways]
    command = [sys.executable, "-m", "kumquatseam.cli", "explain", request_id, *files]
    return subprocess.run([*command, *options], capture_output=True, text=True)


@then('the explanation of "{request_id}" contains "{text}"')
def step_explanation_contains(context, request_id, text):
    try:
        wait_until("the line", lambda: text in _explain(context, request_id).stdout)
    except AssertionError as error:
        result = _explain(context, request_id)
        raise AssertionError(
            f"{error}; output: {result.stdout}{result.stderr}"
        ) from error
    explanation = json.loads(_explain(context, request_id, "--json").stdout)
    assert explanation["request_id"] == request_id
