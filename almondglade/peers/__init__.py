"""Links between almondglade's own processes."""

from . import poolcodec

__all__ = ["poolcodec"]
