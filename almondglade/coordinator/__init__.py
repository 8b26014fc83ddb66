"""Coordinator of a pool: grants permits for its targets to all instances."""

from .core import Coordinator

__all__ = ["Coordinator"]
