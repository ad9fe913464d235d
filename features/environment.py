"""Behave hooks: every program a scenario starts is closed after it."""

import shutil


def before_scenario(context, scenario):
    context.programs = []
    context.folder = None


def after_scenario(context, scenario):
    for program in reversed(context.programs):
        program.close()
    if context.folder:
        shutil.rmtree(context.folder, ignore_errors=True)
