"""One dispatch: write the request, read the answer to its last byte."""

import re
import threading
import time
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.util import SKIP_HEADER

from ..deadlines import Deadlines
from ..errors import TargetError
from ..sockets import shut_down
from .connections import Attempt, PermitExpiredError

READ_BYTES = 1 << 16
FINAL_STATUSES = range(200, 600)
LENGTH = re.compile(r"[0-9]{1,18}")
READ_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class NotSentError(TargetError):
    """No byte of the request reached the target."""


class BrokenCallError(TargetError):
    """The connection failed after the request was dispatched."""


class CallTimeoutError(TargetError):
    """The target was silent for too long after the dispatch."""


class CallCancelledError(TargetError):
    """The call was cancelled from this side."""


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of a target's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Call:
    """A request on its way to a target.

    Parameters
    ----------
    pool : TargetPool
        Connections to the target.
    request : IncomingRequest
        What to send.
    limits : TimeLimits
        Time limits of the service.
    attempt : Attempt
        Marked when the first byte goes out.
    deadlines : Deadlines
        Bounds the head and the whole answer.
    clock : callable
        Returns monotonic seconds.
    fresh : bool
        Whether to use a new connection, which the target cannot have closed
        as idle while the request was on its way.

    Attributes
    ----------
    started : float
        When the request was dispatched.
    whole : bool
        Whether the answer was read to its last byte.
    """

    def __init__(
        self,
        pool,
        request,
        limits,
        attempt: Attempt,
        deadlines: Deadlines,
        clock=time.monotonic,
        fresh=False,
    ):
        self.pool = pool
        self.request = request
        self.limits = limits
        self.attempt = attempt
        self.deadlines = deadlines
        self.clock = clock
        self.fresh = fresh
        self.started = clock()
        self.cancelled = False
        self.whole = False
        self._expired = False
        self._ended = False
        self._reusable = True
        self._streaming = False
        self._lock = threading.Lock()
        self._connection: Any = None
        # Kept apart: the connection forgets it when the target will close it.
        self._socket: Any = None
        self._response: Any = None
        self._deadline: Any = None

    def open(self):
        """Send the request and return the head of the answer.

        Raises
        ------
        NotSentError
            If no byte was written.
        PermitExpiredError
            If the permit ran out first; no byte was written.
        BrokenCallError, CallTimeoutError, CallCancelledError
            If the target may have seen the request.
        """
        try:
            self._connect()
            self._begin()
            self._send()
            return self._receive_head()
        except READ_ERRORS as error:
            raise self._translate(error) from error
        finally:
            if self._response is None:
                self.close()

    def read(self):
        """Return the next bytes of the body; none at the end of a whole answer.

        Raises
        ------
        BrokenCallError, CallTimeoutError, CallCancelledError
            If the answer is not whole.
        """
        try:
            chunk = self._response.read1(READ_BYTES, decode_content=False)
        except READ_ERRORS as error:
            self.close()
            raise self._translate(error) from error
        if self._response.closed:
            self._complete()
        elif not self._streaming:
            self._streaming = True
            self._socket.settimeout(self.limits.between_bytes)
        return chunk

    def cancel(self):
        """Cut the connection, in whatever phase; safe from any thread."""
        with self._lock:
            if self._ended:
                return
            self.cancelled = True
            if self._socket is not None:
                shut_down(self._socket)

    def close(self):
        """Drop the connection, which also cancels the run at an engine."""
        if not self._end():
            return
        if self._response is not None:
            self._response.close()
        if self._connection is not None:
            self._connection.close()

    def _connect(self):
        connection = None if self.fresh else self.pool.take()
        try:
            connection = connection or self.pool.connect(self.limits.connect)
        except READ_ERRORS as error:
            raise NotSentError(f"the target could not be reached: {error}") from error
        with self._lock:
            self._connection = connection
            self._socket = connection.sock
            if self.cancelled:
                raise PermitExpiredError("the call was cancelled before it was sent")

    def _begin(self):
        self.attempt.begin()
        self.started = self.clock()
        limit = min(self.limits.first_byte, self.limits.total)
        self._socket.settimeout(limit)
        self._connection.timeout = limit
        self._set_deadline(limit)

    def _send(self):
        request = self.request
        headers = urllib3.HTTPHeaderDict({"User-Agent": SKIP_HEADER})
        for name, value in request.headers:
            if name.lower() == "user-agent":
                headers[name] = value
            else:
                headers.add(name, value)
        try:
            self._connection.request(
                request.method,
                self.pool.prefix + request.target_path,
                body=request.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except (BrokenPipeError, ConnectionResetError):
            # The target may have answered before it read all of the body.
            self._reusable = False

    def _receive_head(self):
        response = self._connection.getresponse()
        check_framing(response, self.request.method)
        with self._lock:
            if self.cancelled or self._expired:
                raise OSError("the connection was shut down")
        self._response = response
        self._deadline.cancel()
        self._set_deadline(self.limits.total)
        return AnswerHead(response.status, tuple(response.headers.iteritems()))

    def _set_deadline(self, seconds):
        self._deadline = self.deadlines.call_at(self.started + seconds, self._expire)

    def _expire(self):
        with self._lock:
            if not self._ended:
                self._expired = True
                shut_down(self._socket)

    def _complete(self):
        """Give the connection back, unless this side cut it short."""
        if not self._end():
            return
        self.whole = not self.cancelled and not self._expired
        if self.whole and self._reusable and self._connection.sock is not None:
            self.pool.put(self._connection)
        else:
            self._connection.close()
        if not self.whole:
            raise self._translate(OSError("the connection was shut down"))

    def _end(self):
        """Make sure that nothing touches the socket from now on."""
        with self._lock:
            first, self._ended = not self._ended, True
        if self._deadline is not None:
            self._deadline.cancel()
        return first

    def _translate(self, error):
        if self.cancelled:
            return CallCancelledError("the call was cancelled")
        if self._expired or isinstance(error, ReadTimeoutError | TimeoutError):
            return CallTimeoutError("the target was silent or busy for too long")
        return BrokenCallError(f"the connection to the target failed: {error}")


def check_framing(response, method):
    """Refuse an answer whose end cannot be told for sure.

    Raises
    ------
    HTTPException
        If its status, length or transfer coding is not usable.
    """
    if response.status not in FINAL_STATUSES:
        raise HTTPException(f"the answer has the status {response.status}")
    codings = response.headers.getlist("transfer-encoding")
    lengths = set(response.headers.getlist("content-length"))
    if method == "HEAD":
        return
    if codings and (lengths or [c.lower() for c in codings] != ["chunked"]):
        raise HTTPException("the answer has an unusable transfer coding")
    if len(lengths) > 1 or not all(map(LENGTH.fullmatch, lengths)):
        raise HTTPException("the answer has an unusable length")
