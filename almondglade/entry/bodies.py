"""Read the bodies of requests, within limits of size and time."""

import contextlib
import socket
import threading
import time

from ..httpserver.bodystreams import BodyTooLargeError, ChunkedBody, read_declared
from ..httpserver.gate import GATED_BODY_BYTES
from ..outcome import Code, RequestError
from ..sockets import shut_down

# Time limit for the arrival of a body.
BODY_SECONDS = 20.0
# A chunked body takes room in steps of at least this size.
GROWTH_BYTES = 1 << 18
# The pieces of a chunked body are copied once, at its end.
CHUNKED_COPIES = 2
BUSY_RETRY_AFTER_SECONDS = 1.0


class BodyReader:
    """Reads request bodies; limits how many are being received at once.

    A body that is longer than `GATED_BODY_BYTES` takes room in memory, which it keeps
    until its request has ended. The number of requests limits the shorter ones.

    Parameters
    ----------
    deadlines : Deadlines
        Timer that enforces `BODY_SECONDS`.
    slots : int
        Maximum number of bodies that are being received at once.
    room : BodyRoom
        Memory for the bodies.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, deadlines, slots, room, clock=time.monotonic):
        self.deadlines = deadlines
        self.room = room
        self.clock = clock
        self._slots = threading.BoundedSemaphore(slots)

    def read(self, http, limit, request_id):
        """Return the body of a request.

        Parameters
        ----------
        http : StrictRequest
            The request.
        limit : int
            Longest allowed body (bytes).
        request_id : str
            Id of the request, for the logs.

        Raises
        ------
        RequestError
            If the body is too large, too slow, truncated or malformed, or there is no
            memory for it; then a body of declared length has not been read.
        """
        length = http.content_length
        if length == 0:
            return b""
        if length is not None and length > limit:
            raise body_too_large(limit)
        if length is None or length > GATED_BODY_BYTES:
            http.held_body = self.room.open(request_id)
            if length is not None:
                http.held_body.grow(length)
        if http.held_body is not None or http.expects_continue:
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
                return read_chunked(http, limit)
            if http.held_body is not None:
                body = read_declared(http)
            else:
                body = http.rfile.read(length)
        except BodyTooLargeError as error:
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


def read_chunked(http, limit):
    """Return a chunked body; discard its trailers.

    Parameters
    ----------
    http : StrictRequest
        The request, which holds the room of its body.
    limit : int
        Longest allowed body (bytes).
    """
    held = http.held_body

    def reserve(size):
        missing = CHUNKED_COPIES * size - held.claim.held
        if size > GATED_BODY_BYTES and missing > 0:
            held.grow(max(missing, GROWTH_BYTES))

    pieces = bytearray()
    for piece in ChunkedBody(http.rfile.rfile, limit, reserve):
        pieces += piece
    http.rfile.closed = True
    body = bytes(pieces)
    if held.claim.held:
        held.shrink(len(body))
    return body


def body_too_large(limit):
    """Return the error for a body over its limit."""
    return RequestError(Code.BODY_TOO_LARGE, f"the limit is {limit} bytes")


def body_timeout():
    """Return the error for a body that arrives too slowly."""
    return RequestError(Code.CALLER_TIMEOUT, "the body did not arrive in time")


def truncated_body():
    """Return the error for a truncated body."""
    return RequestError(Code.BAD_REQUEST, "the body ends too early")
