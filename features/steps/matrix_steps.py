"""Steps that run the fault matrix and print a summary."""

import matrix_control
import matrix_requests
from behave import then, when
from loguru import logger

MATRICES = {"requests": matrix_requests, "control": matrix_control}


@when("every fault of the {name} matrix is injected at every step")
def step_run_matrix(context, name):
    module = MATRICES[name]
    logger.disable("kumquatseam")
    try:
        context.results = [(cell, module.run_cell(*cell)) for cell in module.cells()]
    finally:
        logger.enable("kumquatseam")


@then("no cell violates an invariant, of at least {count:d}")
def step_no_violations(context, count):
    failed = [(cell, found) for cell, found in context.results if found]
    cells = len(context.results)
    print(
        f"\nmatrix: {cells} cells, {cells - len(failed)} passed, {len(failed)} failed"
    )
    for cell, violations in failed:
        names = " ".join(getattr(part, "__name__", str(part)) for part in cell)
        print(f"  failed: {names}: {'; '.join(violations)}")
    assert not failed and cells >= count, f"{len(failed)} cells failed"
