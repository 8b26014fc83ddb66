"""Split a stream of server-sent events, so that it can go on elsewhere."""

import re

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


def count_events(chunk):
    """Return how many events end in a chunk."""
    return sum(1 for _ in EVENT_END.finditer(chunk))


class EventStream:
    """Passes whole events on and keeps what is not whole yet.

    Attributes
    ----------
    last_id : str or None
        Id of the last event that was passed on.
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._partial = b""

    @property
    def is_partial(self):
        """Whether an event has begun and not ended."""
        return bool(self._partial.strip())

    def feed(self, chunk):
        """Return the whole events up to the end of a chunk.

        Parameters
        ----------
        chunk : bytes

        Returns
        -------
        bytes
        """
        data = self._partial + chunk
        ends = [match.end() for match in EVENT_END.finditer(data)]
        end = ends[-1] if ends else 0
        whole, self._partial = data[:end], data[end:]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def drop_partial(self):
        """Forget an event that broke off."""
        self._partial = b""

    def flush(self):
        """Return what is left at the end of a whole answer."""
        rest, self._partial = self._partial, b""
        return rest
