"""Relay a target's response to the caller."""

import re

from ..dispatch.events import EVENT_TERMINATORS, is_event_stream
from ..errors import AlmondgladeError
from ..log import get_logger
from ..outcome import OUTCOME_HEADER, REQUEST_ID_HEADER, RequestError

log = get_logger("entry")

# Hop-by-hop headers (RFC 9110 section 7.6.1) and headers that each hop sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Targets must not see the caller's API key.
HEADERS_WITHHELD_FROM_TARGETS = frozenset(
    {"authorization", "content-length", "host", REQUEST_ID_HEADER.lower()}
)
HEADERS_WITHHELD_FROM_CALLERS = frozenset(
    {OUTCOME_HEADER.lower(), REQUEST_ID_HEADER.lower()}
)
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]+")


class TruncatedResponseError(AlmondgladeError):
    """The response cannot be completed; the connection must be closed."""


def end_to_end(header_pairs, withheld):
    """Return the end-to-end headers, which are forwarded to the next hop.

    Control characters in values become spaces; headers with invalid names are
    dropped.

    Parameters
    ----------
    header_pairs : iterable of (str, str)
        Headers in order.
    withheld : frozenset of str
        Lower-case names of further headers that are not forwarded.
    """
    header_pairs = list(header_pairs)
    connection_options = {
        token.strip().lower()
        for name, value in header_pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, CONTROL_CHARACTERS.sub(" ", value))
        for name, value in header_pairs
        if HEADER_NAME.fullmatch(name)
        and name.lower() not in HOP_BY_HOP_HEADERS | withheld | connection_options
    )


def response_headers(head):
    """Return the headers of a target's response that its caller gets.

    The length of an event stream is left out: an incomplete one must end without the
    last chunk, and an ``error`` event must not count towards the length.
    """
    withheld = HEADERS_WITHHELD_FROM_CALLERS
    if is_event_stream(head):
        withheld = withheld | {"content-length"}
    return end_to_end(head.headers, withheld)


class RelayedBody:
    """The body of a run's response, which the server iterates over and closes.

    If the response is interrupted, the connection is closed without the last chunk,
    so that the caller's HTTP library detects the truncation. In an event stream an
    ``error`` event is sent first, unless it would fall into the middle of another
    event.

    Parameters
    ----------
    run : Run
        Iterator over the body.
    first : bytes
        First chunk of the body, which was read already.
    on_end : callable
        Called once, when the body is closed, with the `RequestError` that
        interrupted it, or None.
    sends_error_event : bool
        Whether an interrupted event stream ends with an ``error`` event.
    """

    def __init__(self, run, first, on_end, sends_error_event=True):
        self._run = run
        self._on_end = on_end
        self._can_send_error_event = sends_error_event and is_event_stream(run.head)
        self._last_chunk = b""
        self._first_chunk = first
        self._error: RequestError | None = None

    def __iter__(self):
        return self

    def __next__(self):
        if self._error is not None:
            raise TruncatedResponseError("the response is incomplete")
        if self._first_chunk:
            chunk, self._first_chunk = self._first_chunk, b""
        else:
            try:
                chunk = next(self._run)
            except RequestError as error:
                return self._fail(error)
        self._last_chunk = chunk
        return chunk

    def close(self):
        """Close the run and call `on_end`, the first time only."""
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            self._run.close()
            error, self._error = self._error, None
            on_end(error)
            # The error's traceback refers to this object, and so to the request's body,
            # until it is dropped.

    def _fail(self, error):
        self._error = error
        request_id = self._run.request.request_id
        log.info("an answer broke off", request=request_id, code=error.code.text)
        if self._can_send_error_event and self._last_chunk.endswith(EVENT_TERMINATORS):
            return b"event: error\ndata: %b\n\n" % error.document(request_id)
        raise TruncatedResponseError("the response is incomplete") from error
