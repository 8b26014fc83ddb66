"""Entry point of the command line."""

import sys

import defopt

from ..errors import AlmondgladeError
from . import check, dump, gateway, key, load, serve, settings, standin

EXIT_ERROR = 1

COMMANDS = {
    "serve": serve.serve,
    "gateway": gateway.gateway,
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
        status = defopt.run(
            COMMANDS,
            argv=arguments,
            cli_options="has_default",
            argparse_kwargs={"prog": "almondglade"},
        )
    except AlmondgladeError as error:
        print(f"almondglade: {error}", file=sys.stderr)
        status = EXIT_ERROR
    sys.exit(status)
