"""Read responses of targets strictly, with limits on all but their bodies."""

import http.client
import re
from typing import Any

# Also the limit of a trailer.
MAX_HEAD_BYTES = 128 << 10
MAX_CHUNK_LINE_BYTES = 4 << 10
CHUNK_LINE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")
LINE_END = b"\r\n"


class HeadReader:
    """Reads the lines of a head up to a total length and records the last one."""

    def __init__(self, fp):
        self._fp = fp
        self._bytes_left = MAX_HEAD_BYTES
        self.last = b""

    def readline(self, *limit):
        """Return the next line.

        Raises
        ------
        HTTPException
            If the head, with all interim ones before it, is too long.
        """
        self.last = self._fp.readline(*limit)
        self._bytes_left -= len(self.last)
        if self._bytes_left < 0:
            raise http.client.HTTPException("the head is too long")
        return self.last

    def close(self):
        """Close the underlying reader."""
        self._fp.close()


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


class StrictResponse(http.client.HTTPResponse):
    """A response whose head and chunks must be complete and well-formed.

    `http.client` treats the end of the connection as the end of the headers, of the
    last chunk and of the trailer, and ignores what follows a chunk in place of the
    end of its line. A truncated response would be presented as a complete one.
    """

    fp: Any

    def begin(self):
        """Read the head.

        Raises
        ------
        IncompleteRead
            If the connection ended within the head.
        HTTPException
            If the head is too long.
        """
        fp: Any = self.fp
        reader: Any = HeadReader(fp)
        self.fp = reader
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = fp
        if reader.last not in (b"\r\n", b"\n"):
            raise http.client.IncompleteRead(reader.last)

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
        lines = HeadReader(self.fp)
        while lines.last != LINE_END:
            if not lines.readline(MAX_CHUNK_LINE_BYTES).endswith(b"\n"):
                raise http.client.HTTPException("the trailer is incomplete")
