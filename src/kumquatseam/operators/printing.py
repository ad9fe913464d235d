"""Formatting answers for operators as tables or JSON."""

import json

from tabulate import tabulate

from kumquatseam.operators._console import AppliedCommands, ConsoleAnswer


def answer_table(answer: ConsoleAnswer) -> str:
    """Return an answer as a table and a line that counts the routers."""
    rows = [row.cells for row in answer.rows]
    table = tabulate(rows, headers=answer.columns, disable_numparse=True)
    return f"{table}\n{_answered_text(answer)}"


def answer_json(answer: ConsoleAnswer) -> str:
    """Return an answer as one JSON object."""
    rows = [dict(zip(answer.columns, row.cells, strict=True)) for row in answer.rows]
    return json.dumps(
        {
            "rows": rows,
            "answered": dict(answer.answered),
            "silent": list(answer.unanswered),
        }
    )


def applied_text(applied: AppliedCommands) -> str:
    """Return the progress of applied commands as a sentence."""
    total = len(applied.in_force) + len(applied.lagging)
    text = (
        f"accepted at offset {applied.offset}; in force on "
        f"{len(applied.in_force)} of {total} routers after {applied.took_s:.2f} s"
    )
    if applied.lagging:
        text += f"; not yet seen on {', '.join(applied.lagging)}"
    return text


def applied_json(applied: AppliedCommands) -> str:
    """Return the progress of applied commands as one JSON object."""
    return json.dumps(
        {
            "offset": applied.offset,
            "in_force": list(applied.in_force),
            "lagging": list(applied.lagging),
            "took_s": round(applied.took_s, 3),
        }
    )


def _answered_text(answer: ConsoleAnswer) -> str:
    total = len(answer.answered) + len(answer.unanswered)
    text = f"{len(answer.answered)} of {total} routers answered"
    if answer.unanswered:
        text += f"; no answer from {', '.join(answer.unanswered)}"
    return text
