"""Keep what a start does not need out of it."""

import contextlib
import gc
import sys


@contextlib.contextmanager
def without_module(name):
    """Let the import of an optional module fail while libraries are imported.

    Parameters
    ----------
    name : str
        The module; it is left alone if it has been imported already.
    """
    is_hidden = name not in sys.modules
    if is_hidden:
        sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        if is_hidden:
            del sys.modules[name]


def enable_collections():
    """Let the garbage collector run, without looking at what has been imported."""
    gc.freeze()
    gc.enable()
