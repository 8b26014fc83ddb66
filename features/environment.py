"""Keep one fleet for all scenarios that ask for the same one."""

import copy
from contextlib import ExitStack


def before_all(context):
    context.stack = ExitStack()
    context.fleets_by_size = {}


def after_scenario(context, scenario):
    """Put the first document in force again."""
    for fleet in context.fleets_by_size.values():
        if fleet.declarations != fleet.first_declarations:
            fleet.declarations = copy.deepcopy(fleet.first_declarations)
        fleet.await_ready(fleet.publish())


def after_all(context):
    context.stack.close()
