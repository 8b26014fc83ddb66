"""Links and calls between almondglade instances."""

from . import poolcodec

__all__ = ["poolcodec"]
