"""Behave hooks: every program a scenario starts is closed after it."""

import os
import shutil
from pathlib import Path

from loguru import logger

from steps.switch_interval import lengthen_switch_interval


def before_all(context):
    lengthen_switch_interval()
    # Parts called in this process would print their lines between the dots.
    logger.remove()


def before_scenario(context, scenario):
    context.fleet = None
    context.folder = None
    context.platform = None
    context.supervisor = None


def after_scenario(context, scenario):
    if context.supervisor:
        # First, or it would start again what is closed here.
        context.supervisor.close()
    if context.fleet:
        context.fleet.close()
    if context.platform:
        context.platform.close()
    if context.folder:
        shutil.rmtree(context.folder, ignore_errors=True)
    left = _children()
    assert not left, f"programs still run: {left}"


def _children() -> list[str]:
    """Return the command lines of this process's children that still run."""
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            state, parent = stat.read_text().rpartition(")")[2].split()[:2]
            arguments = (stat.parent / "cmdline").read_text().replace("\0", " ")
        except OSError:
            # It ended while it was looked at.
            continue
        if int(parent) == os.getpid() and state != "Z":
            found.append(arguments)
    return found
