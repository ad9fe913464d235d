"""Steps that run the seeded bench and check its regression bounds."""

from behave import then, when
from loguru import logger

from kumquatseam.bench._modelled import run_policy
from kumquatseam.bench._report import broken_bounds, format_report, run_bench
from kumquatseam.bench._scenarios import SCENARIOS
from kumquatseam.bench._trace import build_trace

REQUESTS = 1500


@when(
    'the bench runs scenario "{scenario}" with seed {seed:d} and {requests:d} requests'
)
def step_run_bench(context, scenario, seed, requests):
    logger.remove()
    context.report = run_bench(scenario, seed, requests)
    print(format_report(context.report))


@then("every regression bound holds")
def step_bounds(context):
    broken = broken_bounds(context.report)
    assert not broken, broken


@when('scenarios "{first}" and "{second}" run with seed {seed:d}')
def step_run_two(context, first, second, seed):
    logger.remove()
    context.two = [run_one(name, "prefix_aware", seed) for name in (first, second)]


@when('policies "{first}" and "{second}" run scenario "{scenario}" with seed {seed:d}')
def step_run_policies(context, first, second, scenario, seed):
    logger.remove()
    context.two = [run_one(scenario, policy, seed) for policy in (first, second)]


def run_one(name: str, policy: str, seed: int):
    scenario = SCENARIOS[name]
    figures = run_policy(scenario, build_trace(scenario, REQUESTS, seed), policy, seed)
    print(f"\n{name} {policy}: {figures.summary} {figures.class_refused}")
    return figures


@then("the first one's p99 time to first token is at most {ratio:f} of the second's")
def step_p99(context, ratio):
    first, second = (figures.summary.ttft_p99_ms for figures in context.two)
    assert first <= ratio * second, (first, second)


@then("the first one's p99 for \"{name}\" is at most {ratio:f} of the second's")
def step_class_p99(context, name, ratio):
    first, second = (figures.class_ttft_p99_ms[name] for figures in context.two)
    assert first <= ratio * second, (first, second)


@then("the first one's wasted tokens are at most {ratio:f} of the second's")
def step_wasted(context, ratio):
    first, second = (figures.summary.wasted_recompute_tokens for figures in context.two)
    assert first <= ratio * second, (first, second)


@then('only "{first}" and "{second}" were refused')
def step_only_refused(context, first, second):
    refused = context.two[0].class_refused
    assert refused and set(refused) <= {first, second}, refused


@then("nothing was run twice or lost in either")
def step_none_lost(context):
    for figures in context.two:
        assert (figures.duplicates, figures.lost) == (0, 0)
