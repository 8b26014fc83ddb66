"""Split a stream of server-sent events, so that another target can resume it."""

import re

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_TERMINATOR_BYTES = max(map(len, EVENT_TERMINATORS))
EVENT_END_PATTERN = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID_PATTERN = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


def count_events(chunk):
    """Return the number of events that end in a chunk."""
    return sum(1 for _ in EVENT_END_PATTERN.finditer(chunk))


class EventStream:
    """Forwards complete events and buffers an incomplete one.

    Parameters
    ----------
    last_id : str or None
        Id of the event after which the stream starts; None for a new stream.

    Attributes
    ----------
    last_id : str or None
        Id of the last event that was forwarded.
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._partial = b""

    @property
    def is_partial(self):
        """Whether an incomplete event is buffered."""
        return bool(self._partial.strip())

    def feed(self, chunk):
        """Return the events that a chunk completes.

        Parameters
        ----------
        chunk : bytes
            Next bytes of the stream.

        Returns
        -------
        bytes
            The complete events, including what was buffered of the first one.
        """
        data = self._partial + chunk
        ends = [match.end() for match in EVENT_END_PATTERN.finditer(data)]
        end = ends[-1] if ends else 0
        complete, self._partial = data[:end], data[end:]
        ids = EVENT_ID_PATTERN.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def drop_partial(self):
        """Discard an event that was cut off before its end."""
        self._partial = b""

    def flush(self):
        """Return the buffered bytes at the end of a complete response."""
        rest, self._partial = self._partial, b""
        return rest
