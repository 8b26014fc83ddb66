"""Coordinator of a pool: grants permits for its targets to all instances.

An entry is the part of an instance that receives requests. It sends a demand for each
request and dispatches the request to a target when the coordinator grants a permit.
"""

from .core import Coordinator

__all__ = ["Coordinator"]
