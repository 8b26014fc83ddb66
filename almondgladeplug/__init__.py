"""Plug-ins that ship with almondglade; importing the package registers them."""

from . import choices, kinds, limits, queues

__all__ = ["choices", "kinds", "limits", "queues"]
