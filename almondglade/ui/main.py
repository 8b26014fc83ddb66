"""Entry point of the command line."""

import sys

import defopt

from ..errors import AlmondgladeError
from . import check, dump, key, load, serve, settings, standin

EXIT_ERROR = 1

COMMANDS = {
    "serve": serve.serve,
    "check": check.check,
    "dump": dump.dump,
    "key": key.key,
    "load": load.load,
    "settings": settings.settings,
    "standin": standin.COMMANDS,
}


def main(arguments=None):
    """Run one command and exit with its status."""
    try:
        sys.exit(defopt.run(COMMANDS, argv=arguments, cli_options="has_default"))
    except AlmondgladeError as error:
        print(f"almondglade: {error}", file=sys.stderr)
        sys.exit(EXIT_ERROR)
