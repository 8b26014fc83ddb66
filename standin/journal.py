"""A file of the requests that a target received, which survives a crash."""

import threading
import time

import orjson


class Journal:
    """Appends one JSON line for each request before it runs.

    Parameters
    ----------
    path : str or None
        File to append to; None disables the journal.
    """

    def __init__(self, path=None):
        self._file = open(path, "ab") if path else None  # noqa: SIM115
        self._lock = threading.Lock()

    def write(self, **fields):
        """Append a line with the current time and the given fields."""
        if self._file is None:
            return
        line = orjson.dumps({"at": time.time(), **fields}) + b"\n"
        with self._lock:
            self._file.write(line)
            self._file.flush()


def read_journal(path):
    """Return the entries of a journal without a last line truncated by a kill."""
    with open(path, "rb") as file:
        return [orjson.loads(line) for line in file if line.endswith(b"\n")]
