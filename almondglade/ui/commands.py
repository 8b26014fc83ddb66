"""All commands, with their flags."""

import defopt

from . import check, dump, gateway, key, load, serve, settings, standin

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


def run_command(arguments):
    """Run the command that some arguments name and return its exit status."""
    return defopt.run(
        COMMANDS,
        argv=arguments,
        cli_options="has_default",
        argparse_kwargs={"prog": "almondglade"},
    )
