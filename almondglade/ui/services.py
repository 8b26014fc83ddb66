"""Commands that run until they are asked to stop, and reload on a signal."""

from importlib import import_module

SERVICES = ("gateway", "serve")


def run_service(name):
    """Run a service without flags; return its exit status.

    Parameters
    ----------
    name : str
        One of `SERVICES`.
    """
    module = import_module(f".{name}", __package__)
    return getattr(module, name)()
