"""Read responses of targets strictly, with limits on all but their bodies."""

import http.client
import re
from http import HTTPStatus
from typing import Any

from .heads import check_final, check_trailer, parse_head

# Also the limit of a trailer.
MAX_HEAD_BYTES = 128 << 10
MAX_CHUNK_LINE_BYTES = 4 << 10
CHUNK_LINE_PATTERN = re.compile(
    rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n"
)
LINE_END = b"\r\n"
# The parser rejects a bare LF, which also ends a head, so that no more is awaited.
EMPTY_LINES = (LINE_END, b"\n")
# Versions are numbers as in `http.client`.
HTTP_1_1 = 11
STATUSES_WITHOUT_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class HeadReader:
    """Reads heads, up to a total length.

    Parameters
    ----------
    fp : io.BufferedReader
        Bytes that the target has sent.
    """

    def __init__(self, fp):
        self._fp = fp
        self._bytes_left = MAX_HEAD_BYTES

    def read(self):
        """Return the bytes up to the next empty line, with that line.

        Raises
        ------
        IncompleteRead
            If the connection ends before.
        HTTPException
            If the head, with all interim ones before it, is too long.
        """
        lines = [self._read_line()]
        while lines[-1] not in EMPTY_LINES:
            lines.append(self._read_line())
        return b"".join(lines)

    def _read_line(self):
        line = self._fp.readline(self._bytes_left + 1)
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            raise http.client.HTTPException("the head is too long")
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        return line


class UnclosableReader:
    """A reader that stays open when a response closes it at its end.

    Its buffer may already hold bytes of the next response.
    """

    def __init__(self, fp):
        self._fp = fp

    def __getattr__(self, name):
        return getattr(self._fp, name)

    def close(self):
        """Keep the reader open."""


def closes_connection(head):
    """Return whether the target closes its connection after a response.

    Parameters
    ----------
    head : ResponseHead
    """
    options = {
        option.strip().lower()
        for name, value in head.headers
        if name.lower() == "connection"
        for option in value.split(",")
    }
    return "close" in options or (
        head.version < HTTP_1_1 and "keep-alive" not in options
    )


class StrictResponse(http.client.HTTPResponse):
    """A response whose head and chunks must be complete and well-formed.

    `http.client` skips malformed lines of a head, treats the end of the connection as
    the end of the headers, of the last chunk and of the trailer, and ignores what
    follows a chunk in place of the end of its line. A broken response would be
    presented as a complete one.
    """

    fp: Any
    _method: Any

    def begin(self):
        """Read the head.

        Raises
        ------
        IncompleteRead
            If the connection ended within the head.
        HTTPException
            If the head is malformed, not final or too long.
        """
        reader = HeadReader(self.fp)
        head = parse_head(reader.read())
        while head.status == HTTPStatus.CONTINUE:
            head = parse_head(reader.read())
        has_body = self._method != "HEAD" and head.status not in STATUSES_WITHOUT_BODY
        check_final(head, has_body)
        self.code = self.status = head.status
        self.reason = ""
        self.version = head.version
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in head.headers:
            self.headers[name] = value
        self.will_close = closes_connection(head)
        self._set_framing(has_body)

    def _set_framing(self, has_body):
        """Determine how the end of the body is marked."""
        # The only coding that `check_final` accepts.
        self.chunked = has_body and "transfer-encoding" in self.headers
        self.chunk_left = None
        length = self.headers.get("content-length")
        if not has_body:
            self.length = 0
        elif self.chunked or length is None:
            self.length = None
        else:
            self.length = int(length)
        if not self.chunked and self.length is None:
            self.will_close = True

    def _get_chunk_left(self):
        """Return the bytes left of the current chunk, or None after the last chunk.

        Overrides the method of `http.client` on which all its reads of chunks rely.

        Raises
        ------
        HTTPException
            If the framing of a chunk is malformed or incomplete.
        """
        if not self.chunk_left:
            if self.chunk_left is not None and self.fp.read(2) != LINE_END:
                raise http.client.HTTPException("a chunk does not end with its size")
            self.chunk_left = self._read_chunk_size() or None
            if self.chunk_left is None:
                self._skip_trailer()
                fp, self.fp = self.fp, None
                fp.close()
        return self.chunk_left

    def _read_chunk_size(self):
        line = self.fp.readline(MAX_CHUNK_LINE_BYTES)
        match = CHUNK_LINE_PATTERN.fullmatch(line)
        if match is None:
            raise http.client.HTTPException("the size of a chunk is malformed")
        return int(match[1], 16)

    def _skip_trailer(self):
        trailer = HeadReader(self.fp).read()
        if trailer != LINE_END:
            check_trailer(trailer)
