"""Share one fleet among all scenarios that use the same fleet size."""

import copy
from contextlib import ExitStack


def before_all(context):
    context.stack = ExitStack()
    context.fleets_by_size = {}


def after_scenario(context, scenario):
    """Publish the initial declared document again."""
    for fleet in context.fleets_by_size.values():
        if fleet.declarations != fleet.initial_declarations:
            fleet.declarations = copy.deepcopy(fleet.initial_declarations)
        fleet.await_ready(fleet.publish())


def after_all(context):
    context.stack.close()
