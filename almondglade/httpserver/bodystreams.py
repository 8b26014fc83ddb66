"""Read request bodies with few copies."""

import io
import re

MAX_PIECE_BYTES = 1 << 16
MAX_LINE_BYTES = 4 << 10
CHUNK_LINE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")
LINE_END = b"\r\n"
# The framing may be this much longer than the longest allowed body.
FRAMING_ALLOWANCE_BYTES = 1 << 16


class LengthLimitedStream(io.RawIOBase):
    """A raw stream of the body of declared length, without a buffer of its own.

    Parameters
    ----------
    http : StrictRequest
        The request.
    """

    def __init__(self, http):
        super().__init__()
        self._body = http.rfile
        self._stream = http.conn.rfile

    def readable(self):
        """Return that it can be read."""
        return True

    def readinto(self, buffer):
        """Read into a buffer; return the number of bytes, 0 at the end of the body."""
        view = memoryview(buffer)[: self._body.remaining]
        if not view:
            return 0
        if self._stream.has_data():
            data = self._stream.read(min(len(view), len(self._stream.peek(0))))
            count = len(data)
            view[:count] = data
        else:
            count = self._stream.raw.readinto(view)
        self._body.remaining -= count
        return count


def read_declared(http):
    """Return the body of declared length, shorter if the connection ended.

    The reader of the connection would hold it twice while it joins its parts.
    """
    with io.BufferedReader(LengthLimitedStream(http)) as stream:
        return stream.read(http.rfile.remaining)


class BodyTooLargeError(ValueError):
    """A chunked body is longer than allowed."""


class ChunkedBody:
    """Iterates over the pieces of a chunked body, and skips its trailers.

    Parameters
    ----------
    stream : BufferedReader
        Reader of the connection, at the start of the body.
    limit : int
        Longest allowed body (bytes).
    reserve : callable
        Called before each piece is read, with the size of the body up to its end.

    Raises
    ------
    BodyTooLargeError
        If the body or its framing is too long.
    ValueError
        If it is malformed or ends too early.
    """

    def __init__(self, stream, limit, reserve):
        self._stream = stream
        self._limit = limit
        self._reserve = reserve
        self._size = 0
        self._framing_bytes_left = limit + FRAMING_ALLOWANCE_BYTES

    def __iter__(self):
        while left := self._read_chunk_size():
            if left > self._limit - self._size:
                raise BodyTooLargeError("the body is too long")
            while left:
                count = min(left, MAX_PIECE_BYTES)
                self._size += count
                self._reserve(self._size)
                yield self._read(count)
                left -= count
            if self._read(len(LINE_END)) != LINE_END:
                raise ValueError("a chunk does not end with its size")
        while self._read_line() != LINE_END:
            continue

    def _read(self, count):
        data = self._stream.read(count)
        if len(data) < count:
            raise ValueError("the body ends too early")
        return data

    def _read_line(self):
        line = self._stream.readline(MAX_LINE_BYTES)
        self._framing_bytes_left -= len(line)
        if self._framing_bytes_left < 0:
            raise BodyTooLargeError("the framing of the body is too long")
        if not line.endswith(LINE_END):
            raise ValueError("a line of the framing is malformed")
        return line

    def _read_chunk_size(self):
        match = CHUNK_LINE_PATTERN.fullmatch(self._read_line())
        if match is None:
            raise ValueError("the size of a chunk is malformed")
        return int(match[1], 16)
