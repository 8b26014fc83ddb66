"""Dispatch one request: write it and read the response to its last byte."""

import math
import re
import threading
import time
from dataclasses import dataclass
from http.client import HTTPException, IncompleteRead
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..deadlines import Deadlines
from ..errors import TargetError
from ..sockets import reset_on_close, shut_down
from .attribution import Verdict
from .connections import Attempt, PermitExpiredError
from .events import EventSplitter, has_events, has_readable_events

MAX_READ_BYTES = 1 << 16
# Limits on responses to earlier requests that are skipped on a connection: their
# number, and the length of each body.
MAX_STALE_RESPONSES = 3
MAX_STALE_RESPONSE_BYTES = 1 << 20
# Longest wait for the answer that may follow a repeated refusal.
DOUBT_SECONDS = 0.5
# Limit on a body that only the end of its connection ends.
MAX_UNFRAMED_BODY_BYTES = 16 << 20
# Framing of a body that only the end of its connection ends.
UNFRAMED = "connection"
FINAL_STATUSES = range(200, 600)
CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
READ_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class NotSentError(TargetError):
    """No byte of the request reached the target."""


class BrokenCallError(TargetError):
    """The connection failed after the request was dispatched."""


class CallTimeoutError(TargetError):
    """The target exceeded a time limit after the dispatch."""


class CallCancelledError(TargetError):
    """The call was cancelled by this instance."""


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a target's response."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class CallLimits:
    """Time limits of one call, in seconds.

    Parameters
    ----------
    connect : float
        Until a connection is open.
    first_byte : float
        From the request to the first byte of the body.
    between_bytes : float
        Longest gap between two reads of the body.
    total : float
        From the request to the end of the response.
    """

    connect: float
    first_byte: float
    between_bytes: float
    total: float


class Call:
    """One HTTP exchange with a target.

    Parameters
    ----------
    pool : TargetPool
        Connections to the target.
    request : IncomingRequest
        Request to send.
    limits : CallLimits or TimeLimits
        Time limits, here or as declared for the service.
    attempt : Attempt
        Marked as dispatched immediately before the first byte is written.
    deadlines : Deadlines
        Timer that enforces the time limits of the response.
    clock : callable
        Returns monotonic seconds.
    new_connection : bool
        Whether to open a new connection. An idle one may be closed by the target
        while the request is in transit.
    judge_response : callable or None
        Takes a `ResponseHead`, and whether the connection has carried other requests;
        returns the `Verdict`. A stale response on the connection is skipped.
    is_stream_expected : bool
        Whether a success without a content type is an event stream.

    Attributes
    ----------
    started_at : float
        When the request was dispatched (monotonic seconds).
    is_complete : bool
        Whether the response was read to its last byte.
    """

    def __init__(
        self,
        pool,
        request,
        limits,
        attempt: Attempt,
        deadlines: Deadlines,
        clock=time.monotonic,
        new_connection=False,
        judge_response=None,
        is_stream_expected=False,
    ):
        self.pool = pool
        self.request = request
        self.limits = limits
        self.attempt = attempt
        self.deadlines = deadlines
        self.clock = clock
        self.new_connection = new_connection
        self.judge_response = judge_response
        self.is_stream_expected = is_stream_expected
        self.started_at = clock()
        self.cancelled = False
        self.is_complete = False
        self._expired = False
        self._ended = False
        self._reusable = True
        self._is_reused = False
        # Time counts towards the gap limit only while a read waits for the target, not
        # while the caller of `read` is busy. What a read without an event has waited
        # counts for the next one too.
        self._waiting_since: float | None = None
        self._stalled_seconds = 0.0
        self._lock = threading.Lock()
        self._connection: Any = None
        # Kept separately, because the connection drops its reference when the target
        # announces that it will close.
        self._socket: Any = None
        self._response: Any = None
        self._splitter: EventSplitter | None = None
        self._body_bytes = 0
        self._deadline: Any = None
        self._gap_deadline: Any = None

    def open(self):
        """Send the request and return the head of the response.

        Raises
        ------
        NotSentError
            If no byte was written.
        PermitExpiredError
            If the permit expired first; no byte was written.
        BrokenCallError, CallTimeoutError, CallCancelledError
            If the target may have received the request.
        """
        try:
            self._connect()
            self._buffer_request()
            self._mark_dispatched()
            self._write()
            return self._receive_head()
        except READ_ERRORS as error:
            raise self._translate(error) from error
        finally:
            if self._response is None:
                self.close()

    def read(self):
        """Return the next bytes of the body; empty at the end of a complete response.

        Of an event stream, these are whole events.

        Raises
        ------
        BrokenCallError, CallTimeoutError, CallCancelledError
            If the response is incomplete.
        """
        started_at = self.clock() - self._stalled_seconds
        self._waiting_since = started_at
        try:
            chunk, is_end = self._read_chunk()
            while not chunk and not is_end:
                chunk, is_end = self._read_chunk()
        except READ_ERRORS as error:
            self.close()
            raise self._translate(error) from error
        if is_end:
            self._complete()
        has_progress = self._splitter is None or has_events(chunk)
        self._stalled_seconds = 0.0 if has_progress else self.clock() - started_at
        self._waiting_since = None
        return chunk

    def _read_chunk(self):
        """Return the next bytes that can be passed on, and whether the body has ended.

        Raises
        ------
        HTTPException, OSError
            If the response is incomplete.
        """
        response = self._response
        chunk = response.read1(MAX_READ_BYTES)
        if not chunk and response.length:
            raise IncompleteRead(b"", response.length)
        is_end = not chunk or response.length == 0
        self._body_bytes += len(chunk)
        if self._body_bytes > MAX_UNFRAMED_BODY_BYTES and self.framing == UNFRAMED:
            raise HTTPException("the body without a length is too long")
        events = chunk if self._splitter is None else self._splitter.feed(chunk)
        if self._gap_deadline is None and not is_end and events:
            self._watch_gaps()
        if self._splitter is None:
            return chunk, is_end
        if is_end:
            self._check_stream_end(self._splitter)
            events += self._splitter.flush()
        return events, is_end

    def _check_stream_end(self, splitter):
        """Reject an event stream that was broken off, however its end was marked.

        Raises
        ------
        HTTPException
            If it ends within an event, or with its connection before any event.
        """
        if splitter.is_within_event:
            raise HTTPException("the stream ended within an event")
        if not self._body_bytes and self.framing == UNFRAMED:
            raise HTTPException("the connection ended before the first event")

    @property
    def framing(self):
        """How the end of the body is marked: by a length, chunks or the connection.

        None before a response has begun.
        """
        if self._response is None:
            return None
        if self._response.chunked:
            return "chunked"
        return UNFRAMED if self._response.length is None else "length"

    def cancel(self):
        """Shut down the connection in any phase; safe from any thread."""
        with self._lock:
            if self._ended:
                return
            self.cancelled = True
            if self._socket is not None:
                self._shut_down_socket()

    def close(self):
        """Close the connection, which also cancels the run at a model engine."""
        if not self._end():
            return
        if self._response is not None:
            reset_on_close(self._socket)
            self._response.close()
        if self._connection is not None:
            self._connection.close()

    def _connect(self):
        connection = None if self.new_connection else self.pool.take()
        self._is_reused = connection is not None
        try:
            connection = connection or self.pool.connect(self.limits.connect)
        except READ_ERRORS as error:
            raise NotSentError(f"the target could not be reached: {error}") from error
        with self._lock:
            self._connection = connection
            self._socket = connection.sock
            # The deadlines shut the socket down; a socket timeout would cost one more
            # system call for each read.
            connection.timeout = None
            connection.sock.settimeout(None)
            if self.cancelled:
                raise PermitExpiredError("the call was cancelled before it was sent")

    def _mark_dispatched(self):
        self.attempt.mark_dispatched()
        self.started_at = self.clock()
        self._set_deadline(self._first_byte_seconds)

    @property
    def _first_byte_seconds(self):
        return min(self.limits.first_byte, self.limits.total)

    def _buffer_request(self):
        """Buffer the bytes of the request; nothing is written yet."""
        request = self.request
        headers = urllib3.HTTPHeaderDict({"User-Agent": SKIP_HEADER})
        for name, value in request.headers:
            if name.lower() == "user-agent":
                headers[name] = value
            else:
                headers.add(name, value)
        self._connection.request(
            request.method,
            self.pool.prefix + request.target_path,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )

    def _write(self):
        try:
            self._connection.flush()
        except (BrokenPipeError, ConnectionResetError):
            # The target may have responded before it read the whole body.
            self._reusable = False

    def _receive_head(self):
        response = self._connection.read_head()
        head = self._check_head(response)
        is_doubtful = False
        for _ in range(MAX_STALE_RESPONSES):
            verdict = self._judge(head)
            if verdict is Verdict.OURS:
                break
            if verdict is Verdict.DOUBTFUL:
                # If the target has refused the request once more, no answer follows.
                is_doubtful = True
                self._limit_wait(DOUBT_SECONDS)
            # The connection is out of step and must not be reused for other requests.
            self._reusable = False
            response = self._connection.read_next_head(
                response, MAX_STALE_RESPONSE_BYTES
            )
            head = self._check_head(response)
        else:
            raise HTTPException("the answers belong to other requests")
        if is_doubtful:
            self._limit_wait(math.inf)
        with self._lock:
            if self.cancelled or self._expired:
                raise OSError("the connection was shut down")
        # The deadline still applies: the time limit for the first byte covers the first
        # byte of the body as well.
        self._response = response
        if has_readable_events(head, self.is_stream_expected):
            self._splitter = EventSplitter()
        self._connection.note_keep_alive(response.headers.get("keep-alive", ""))
        return head

    def _judge(self, head):
        if self.judge_response is None:
            return Verdict.OURS
        return self.judge_response(head, self._is_reused)

    def _limit_wait(self, seconds):
        """End the call unless its first byte arrives within some seconds."""
        left = self.started_at + self._first_byte_seconds - self.clock()
        self._deadline.cancel()
        self._set_deadline(self.clock() - self.started_at + min(seconds, left))

    def _check_head(self, response):
        check_framing(response, self.request.method)
        return ResponseHead(response.status, tuple(response.headers.items()))

    def _watch_gaps(self):
        """Limit each gap and the total time, from the first part of the body on."""
        self._waiting_since = None
        self._deadline.cancel()
        self._set_deadline(self.limits.total)
        self._check_gap()

    def _check_gap(self):
        """Expire the call if the current gap is too long; else schedule a check."""
        limit = self.limits.between_bytes
        now = self.clock()
        since = self._waiting_since
        if since is not None and now - since >= limit:
            self.expire()
        elif not self._ended:
            due = (now if since is None else since) + limit
            self._gap_deadline = self.deadlines.call_at(due, self._check_gap)

    def _set_deadline(self, seconds):
        self._deadline = self.deadlines.call_at(self.started_at + seconds, self.expire)

    def expire(self):
        """End the call as if its time limit were over; safe from any thread."""
        with self._lock:
            if not self._ended:
                self._expired = True
                self._shut_down_socket()

    def _shut_down_socket(self):
        """Wake the thread that reads; it closes the socket, which must reset then."""
        reset_on_close(self._socket)
        shut_down(self._socket)

    def _complete(self):
        """Return the connection to the pool, unless this instance shut it down."""
        if not self._end():
            return
        self.is_complete = not self.cancelled and not self._expired
        self._response.close()
        if self.is_complete and self._reusable and self._connection.sock is not None:
            self.pool.put(self._connection)
        else:
            self._connection.close()
        if not self.is_complete:
            raise self._translate(OSError("the connection was shut down"))

    def _end(self):
        """Stop all use of the socket; return whether this was the first call."""
        with self._lock:
            first, self._ended = not self._ended, True
        # The call and its owner would keep each other, and the body, until the garbage
        # collector runs.
        self.judge_response = None
        for deadline in (self._deadline, self._gap_deadline):
            if deadline is not None:
                deadline.cancel()
        return first

    def _translate(self, error):
        if not self.attempt.dispatched:
            return NotSentError(f"the request cannot be sent: {error}")
        if self.cancelled:
            return CallCancelledError("the call was cancelled")
        if self._expired:
            return CallTimeoutError("the target was silent or busy for too long")
        return BrokenCallError(f"the connection to the target failed: {error}")


def check_framing(response, method):
    """Reject a response whose end cannot be determined reliably.

    Raises
    ------
    HTTPException
        If its status, content length or transfer coding is invalid.
    """
    if response.status not in FINAL_STATUSES:
        raise HTTPException(f"the answer has the status {response.status}")
    codings = response.headers.get_all("transfer-encoding", [])
    lengths = set(response.headers.get_all("content-length", []))
    if method == "HEAD":
        return
    if codings and (lengths or [c.lower() for c in codings] != ["chunked"]):
        raise HTTPException("the answer has an unusable transfer coding")
    if len(lengths) > 1 or not all(map(CONTENT_LENGTH.fullmatch, lengths)):
        raise HTTPException("the answer has an unusable length")
