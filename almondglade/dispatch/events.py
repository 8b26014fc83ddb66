"""Split a stream of server-sent events into whole events."""

import re

EVENT_STREAM_TYPE = "text/event-stream"
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_TERMINATOR_BYTES = max(map(len, EVENT_TERMINATORS))
LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
EVENT_END_PATTERN = re.compile(LINE_END + LINE_END)
# What may follow the last event of a complete stream.
BLANK_PATTERN = re.compile(rb"(?::[^\r\n]*[\r\n]|\s)*")
EVENT_ID_PATTERN = re.compile(rb"(?:\A|[\r\n])id:[ ]?([^\r\n]*)")
# An incomplete event is buffered up to this length.
MAX_EVENT_BYTES = 256 << 10
IDENTITY_CODING = "identity"


def is_event_stream(head):
    """Return whether a response is a stream of server-sent events."""
    return any(
        name.lower() == "content-type" and value.lower().startswith(EVENT_STREAM_TYPE)
        for name, value in head.headers
    )


def has_readable_events(head, is_stream_expected=False):
    """Return whether a response is a stream whose events can be told apart.

    An encoded event stream is opaque.

    Parameters
    ----------
    is_stream_expected : bool
        Whether a success without a content type is an event stream.
    """
    value_by_name = {name.lower(): value.lower() for name, value in head.headers}
    if value_by_name.get("content-encoding", IDENTITY_CODING) != IDENTITY_CODING:
        return False
    if is_stream_expected and head.status < 300 and "content-type" not in value_by_name:
        return True
    return is_event_stream(head)


def count_events(chunk):
    """Return the number of events that end in a chunk."""
    return sum(1 for _ in EVENT_END_PATTERN.finditer(chunk))


def has_events(chunk):
    """Return whether a chunk holds more than comments and blank lines."""
    return BLANK_PATTERN.fullmatch(chunk) is None


def last_event_id(events):
    """Return the last event id in whole events, or None if they have none."""
    ids = EVENT_ID_PATTERN.findall(events)
    return ids[-1].decode("latin-1") if ids else None


class EventSplitter:
    """Passes on whole events and buffers an incomplete one."""

    def __init__(self):
        self._partial = bytearray()

    @property
    def is_within_event(self):
        """Whether an incomplete event is buffered; comments are none."""
        return BLANK_PATTERN.fullmatch(self._partial) is None

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
        # What was buffered is not searched again, apart from a terminator cut in two.
        start = max(0, len(self._partial) - MAX_TERMINATOR_BYTES)
        self._partial += chunk
        ends = [
            match.end() for match in EVENT_END_PATTERN.finditer(self._partial, start)
        ]
        end = ends[-1] if ends else 0
        events = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ValueError("an event of the stream is too long")
        return events

    def flush(self):
        """Return the buffered bytes at the end of a complete response."""
        rest = bytes(self._partial)
        self._partial.clear()
        return rest
