"""Read the bodies of requests, within limits of size and time."""

import contextlib
import socket
import threading
import time

from cheroot.errors import MaxSizeExceeded

from ..httpserver.gate import GATED_BODY_BYTES
from ..outcome import Code, RequestError
from ..sockets import shut_down

# Time limit for the arrival of a body.
BODY_SECONDS = 20.0
# cheroot counts the framing of a chunked body towards its limit too.
FRAMING_ALLOWANCE_BYTES = 1 << 16
CHUNKED_READ_BYTES = 1 << 12
BUSY_RETRY_AFTER_SECONDS = 1.0


class BodyReader:
    """Reads request bodies; limits how many are being received at once.

    Parameters
    ----------
    deadlines : Deadlines
        Timer that enforces `BODY_SECONDS`.
    slots : int
        Maximum number of bodies that are being received at once.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, deadlines, slots, clock=time.monotonic):
        self.deadlines = deadlines
        self.clock = clock
        self._slots = threading.BoundedSemaphore(slots)

    def read(self, http, limit):
        """Return the body of a request.

        Parameters
        ----------
        http : StrictRequest
            The request.
        limit : int
            Longest allowed body (bytes).

        Raises
        ------
        RequestError
            If the body is too large, too slow, truncated or malformed.
        """
        length = http.content_length
        if length == 0:
            return b""
        if length is not None and length > limit:
            raise body_too_large(limit)
        if length is None or length > GATED_BODY_BYTES or http.expects_continue:
            with self._slot():
                return self._read(http, length, limit)
        return self._read(http, length, limit)

    @contextlib.contextmanager
    def _slot(self):
        if not self._slots.acquire(blocking=False):
            raise RequestError(
                Code.OVERLOADED,
                "too many bodies are arriving at once",
                retry_after=BUSY_RETRY_AFTER_SECONDS,
            )
        try:
            yield
        finally:
            self._slots.release()

    def _read(self, http, length, limit):
        timed_out = threading.Event()

        def expire():
            timed_out.set()
            shut_down(http.conn.socket, socket.SHUT_RD)

        deadline = self.deadlines.call_at(self.clock() + BODY_SECONDS, expire)
        try:
            http.send_continue()
            if length is None:
                return read_chunked(http.rfile, limit)
            body = http.rfile.read(length)
        except MaxSizeExceeded as error:
            raise body_too_large(limit) from error
        except (OSError, ValueError) as error:
            if timed_out.is_set() or isinstance(error, TimeoutError):
                raise body_timeout() from error
            raise RequestError(Code.BAD_REQUEST, "the body is malformed") from error
        finally:
            deadline.cancel()
        if len(body) < length:
            raise body_timeout() if timed_out.is_set() else truncated_body()
        return body


def read_chunked(rfile, limit):
    """Return a chunked body; discard its trailers.

    Parameters
    ----------
    rfile : ChunkedRFile
        cheroot's reader of the body.
    limit : int
        Longest allowed body (bytes).
    """
    rfile.maxlen = 2 * limit + FRAMING_ALLOWANCE_BYTES
    chunks = []
    size = 0
    while chunk := rfile.read(CHUNKED_READ_BYTES):
        chunks.append(chunk)
        size += len(chunk)
        if size > limit:
            raise body_too_large(limit)
    for _ in rfile.read_trailer_lines():
        continue
    return b"".join(chunks)


def body_too_large(limit):
    """Return the error for a body over its limit."""
    return RequestError(Code.BODY_TOO_LARGE, f"the limit is {limit} bytes")


def body_timeout():
    """Return the error for a body that arrives too slowly."""
    return RequestError(Code.CALLER_TIMEOUT, "the body did not arrive in time")


def truncated_body():
    """Return the error for a truncated body."""
    return RequestError(Code.BAD_REQUEST, "the body ends too early")
