"""Steps that run the fault matrix and print its summary line."""

import matrix_control
import matrix_requests
from behave import then, when
from loguru import logger

HALVES = {"requests": matrix_requests, "control": matrix_control}


@when("every fault of the {half} matrix is injected at every step")
def step_run_matrix(context, half):
    module = HALVES[half]
    logger.disable("kumquatseam")
    try:
        context.results = [(cell, module.run_cell(*cell)) for cell in module.cells()]
    finally:
        logger.enable("kumquatseam")


@then("every cell holds, of at least {count:d}")
def step_all_held(context, count):
    broken = [(cell, why) for cell, why in context.results if why]
    cells = len(context.results)
    print(f"\nmatrix: {cells} cells, {cells - len(broken)} held, {len(broken)} broken")
    for cell, why in broken:
        names = " ".join(getattr(part, "__name__", str(part)) for part in cell)
        print(f"  broken: {names}: {'; '.join(why)}")
    assert not broken and cells >= count, f"{len(broken)} cells broken"
