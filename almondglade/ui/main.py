"""Entry point of the command line."""

import sys

from ..errors import AlmondgladeError
from .services import SERVICES, run_service

EXIT_ERROR = 1


def main(arguments=None):
    """Run one command and exit with its status.

    Parameters
    ----------
    arguments : list of str or None
        Those of the process if None.
    """
    arguments = sys.argv[1:] if arguments is None else arguments
    try:
        status = _run(arguments)
    except AlmondgladeError as error:
        print(f"almondglade: {error}", file=sys.stderr)
        status = EXIT_ERROR
    sys.exit(status)


def _run(arguments):
    if len(arguments) == 1 and arguments[0] in SERVICES:
        # Without flags there is nothing to parse, and the parser takes a third of the
        # start.
        return run_service(arguments[0])
    from .commands import run_command

    return run_command(arguments)
