"""Steps for the retry budget of a service."""

from behave import then
from platform_world import HTTP, wait_until


@then("the gateway logged why each of {count:d} retries was allowed")
def step_logged(context, count):
    gateway = context.platform.gateways[0]

    def find_lines():
        lines = [d for d in gateway.lines() if d["event"] == "Retry budget asked."]
        return lines if len(lines) == count else None

    for line in wait_until("the retries are logged", find_lines):
        assert line["is_allowed"], line
        assert line["cause"] in ("refused", "failed"), line
        assert line["requests"] >= 1, line
        assert line["slack"] > 0, line


@then('its metrics count a retry after "{first}" and one after "{second}"')
def step_counted(context, first, second):
    port = context.platform.gateways[0].ports["metrics"]
    text = HTTP.request("GET", f"http://127.0.0.1:{port}/metrics").data.decode()
    for cause in (first, second):
        line = f'kumquatseam_retries_total{{allowed="true",cause="{cause}"}} 1.0'
        assert line in text, text
