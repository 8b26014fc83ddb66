"""Keep one fleet for all scenarios that ask for the same one."""

from contextlib import ExitStack


def before_all(context):
    context.stack = ExitStack()
    context.fleets_by_size = {}


def after_all(context):
    context.stack.close()
