"""Decide what a well-formed head of a response is; all readers of responses ask here.

Lines are parsed by llhttp, whose strict mode accepts what the grammar of RFC 9112 does:
names are tokens, values have no control characters, lines end with CRLF and are not
folded, and the length of the body is stated in one way. A lenient parser skips a line
that it does not understand, and may end the head there: the target and the caller then
disagree about where the body begins and ends. llhttp also reads status lines of other
protocols and versions, and does not look at the text of the status; that is added here.
"""

import re
from dataclasses import dataclass
from http.client import HTTPException

import httptools

# The version, a status of three digits, and its text, which may be missing.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n")
FINAL_STATUSES = range(200, 600)
CHUNKED = "chunked"
# A start line for lines of a trailer, which are parsed like those of a head.
ANY_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


class MalformedHeadError(HTTPException):
    """Bytes in place of a head, or of a trailer, are not well-formed."""


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
        Names and values in order, including repeated ones.
    version : int
        HTTP version, times ten.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    version: int = 11


class _Fields:
    """Collects what llhttp finds in a head."""

    def __init__(self):
        self.headers = []
        self.is_complete = False

    def on_header(self, name, value):
        """Collect one header; llhttp leaves the blanks after its value."""
        self.headers.append(
            (name.decode("latin-1"), value.rstrip(b" \t").decode("latin-1"))
        )

    def on_headers_complete(self):
        """Note the empty line after the headers."""
        self.is_complete = True


def parse_head(data):
    """Return the `ResponseHead` in the bytes of a head, with its empty line.

    Raises
    ------
    MalformedHeadError
        If it is not well-formed.
    """
    if STATUS_LINE.match(data) is None:
        raise MalformedHeadError("the status line is malformed")
    fields = _Fields()
    parser = httptools.HttpResponseParser(fields)
    try:
        parser.feed_data(data)
    except httptools.HttpParserError as error:
        raise MalformedHeadError(f"the head is malformed: {error}") from error
    if not fields.is_complete:
        raise MalformedHeadError("the head is malformed")
    version = int(parser.get_http_version().replace(".", ""))
    return ResponseHead(parser.get_status_code(), tuple(fields.headers), version)


def check_final(head, has_body=True):
    """Reject a response that is not final, or whose end is not certain.

    Parameters
    ----------
    head : ResponseHead
    has_body : bool
        Whether a body follows the head, the framing of which then matters.

    Raises
    ------
    MalformedHeadError
        If its status or its transfer coding is none that can be relayed.
    """
    if head.status not in FINAL_STATUSES:
        raise MalformedHeadError(f"the answer has the status {head.status}")
    codings = [
        value.lower()
        for name, value in head.headers
        if name.lower() == "transfer-encoding"
    ]
    if has_body and codings not in ([], [CHUNKED]):
        raise MalformedHeadError("the answer has an unusable transfer coding")


def check_relayed(head):
    """Check a final head that came otherwise than as the bytes of a response.

    Raises
    ------
    MalformedHeadError
        If it could not have come as such.
    """
    lines = [f"HTTP/1.1 {head.status:03}", *map(": ".join, head.headers)]
    data = "".join(f"{line}\r\n" for line in (*lines, "")).encode("latin-1", "replace")
    if parse_head(data).headers != tuple(head.headers):
        raise MalformedHeadError("a header is malformed")
    check_final(head)


def check_trailer(data):
    """Check the bytes of a trailer, with its empty line.

    Raises
    ------
    MalformedHeadError
        If it is not well-formed.
    """
    parse_head(ANY_STATUS_LINE + data)
