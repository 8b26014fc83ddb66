"""Grant permits for the targets of one pool on behalf of all instances."""

from .core import Coordinator

__all__ = ["Coordinator"]
