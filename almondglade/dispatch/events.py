"""Split a stream of server-sent events into whole events."""

import re

EVENT_STREAM_TYPE = "text/event-stream"
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_TERMINATOR_BYTES = max(map(len, EVENT_TERMINATORS))
LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
EVENT_END_PATTERN = re.compile(LINE_END + LINE_END)
EVENT_ID_PATTERN = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")
# An incomplete event is buffered up to this length.
MAX_EVENT_BYTES = 1 << 20
IDENTITY_CODING = "identity"


def is_event_stream(head):
    """Return whether a response is a stream of server-sent events."""
    return any(
        name.lower() == "content-type" and value.lower().startswith(EVENT_STREAM_TYPE)
        for name, value in head.headers
    )


def has_readable_events(head):
    """Return whether the events of a response can be told apart.

    An encoded event stream is opaque.
    """
    return is_event_stream(head) and not any(
        name.lower() == "content-encoding" and value.lower() != IDENTITY_CODING
        for name, value in head.headers
    )


def count_events(chunk):
    """Return the number of events that end in a chunk."""
    return sum(1 for _ in EVENT_END_PATTERN.finditer(chunk))


def last_event_id(events):
    """Return the last event id in whole events, or None if they have none."""
    ids = EVENT_ID_PATTERN.findall(events)
    return ids[-1].decode("latin-1") if ids else None


class EventSplitter:
    """Passes on whole events and buffers an incomplete one."""

    def __init__(self):
        self._partial = b""

    @property
    def is_within_event(self):
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
            The whole events, including what was buffered of the first one.

        Raises
        ------
        ValueError
            If an event is too long to be buffered.
        """
        data = self._partial + chunk
        ends = [match.end() for match in EVENT_END_PATTERN.finditer(data)]
        end = ends[-1] if ends else 0
        self._partial = data[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ValueError("an event of the stream is too long")
        return data[:end]

    def flush(self):
        """Return the buffered bytes at the end of a complete response."""
        rest, self._partial = self._partial, b""
        return rest
