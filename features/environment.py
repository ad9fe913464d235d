"""Behave hooks: every program a scenario starts is closed after it."""

import shutil

from loguru import logger


def before_all(context):
    # Parts called in this process would print their lines between the dots.
    logger.remove()


def before_scenario(context, scenario):
    context.fleet = None
    context.folder = None
    context.platform = None


def after_scenario(context, scenario):
    if context.fleet:
        context.fleet.close()
    if context.platform:
        context.platform.close()
    if context.folder:
        shutil.rmtree(context.folder, ignore_errors=True)
