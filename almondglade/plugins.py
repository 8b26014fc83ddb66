"""Registry of plug-ins for interchangeable behaviour.

A plug-in subclasses one of the base classes (a service kind, a queue order, a target
choice) and sets its name; importing ``almondgladeplug`` registers all plug-ins that
ship with the project.
"""

import importlib
from typing import ClassVar

from .errors import SettingsError


class Plugin:
    """Base class of all plug-ins; each direct subclass has its own registry."""

    name: ClassVar[str] = ""
    registry: ClassVar[dict[str, type]]

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        if Plugin in cls.__bases__:
            cls.registry = {}
        elif cls.name:
            cls.registry[cls.name] = cls


def load_plugins():
    """Import the plug-in package, which registers its plug-ins."""
    importlib.import_module("almondgladeplug")


def find_plugin(base, name):
    """Return the plug-in class that is registered under a name.

    Parameters
    ----------
    base : type
        Direct subclass of `Plugin`.
    name : str
        Registered name.

    Raises
    ------
    SettingsError
        If no plug-in is registered under that name.
    """
    load_plugins()
    if name not in base.registry:
        known = ", ".join(sorted(base.registry))
        raise SettingsError(f"no {base.__name__} named {name!r}; known: {known}")
    return base.registry[name]
