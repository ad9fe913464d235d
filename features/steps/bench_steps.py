"""Steps that run the seeded bench and check its regression bounds."""

from behave import then, when
from loguru import logger

from kumquatseam.bench._report import broken_bounds, format_report, run_bench


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
