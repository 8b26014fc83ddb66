"""Dispatch one request: write it and read the response to its last byte."""

import time
from http.client import HTTPException, IncompleteRead
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..deadlines import Deadlines
from ..sockets import reset_on_close
from .attribution import Verdict
from .callresult import (
    BrokenCallError,
    CallCancelledError,
    CallLimits,
    CallTimeoutError,
    DoubtfulRefusalError,
    NotSentError,
)
from .connections import Attempt, PermitExpiredError
from .events import EventSplitter, has_events, has_readable_events
from .heads import ResponseHead
from .timedcall import TimedCall

__all__ = (
    "BrokenCallError",
    "Call",
    "CallCancelledError",
    "CallLimits",
    "CallTimeoutError",
    "DoubtfulRefusalError",
    "NotSentError",
    "ResponseHead",
)

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
READ_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class Call(TimedCall):
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
    is_replaceable : callable or None
        Returns whether another target is known to take the request up; a target that
        is silent is given up only then.

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
        is_replaceable=None,
    ):
        self.pool = pool
        self.request = request
        super().__init__(limits, attempt, deadlines, clock, is_replaceable)
        self.new_connection = new_connection
        self.judge_response = judge_response
        self.is_stream_expected = is_stream_expected
        self.is_complete = False
        self._reusable = True
        self._is_reset = False
        self._is_reused = False
        self._stalled_seconds = 0.0
        self._connection: Any = None
        self._response: Any = None
        self._splitter: EventSplitter | None = None
        self._body_bytes = 0

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
        if is_end and self._is_reset and self.framing == UNFRAMED:
            raise HTTPException("the connection was reset before the end of the body")
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
        self._limit_first_byte()

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
            # The target may have responded before it read the whole body. The kernel
            # does not report the reset again: reads return what arrived before it, and
            # then end as after an orderly close.
            self._reusable = False
            self._is_reset = True

    def _receive_head(self):
        response = self._connection.read_head()
        head = head_of(response)
        for _ in range(MAX_STALE_RESPONSES):
            verdict = self._judge(head)
            if verdict is Verdict.OURS:
                break
            if verdict is Verdict.DOUBTFUL:
                # If the target has refused the request once more, no answer follows.
                self._limit_doubt(DOUBT_SECONDS)
            # The connection is out of step and must not be reused for other requests.
            self._reusable = False
            response = self._connection.read_next_head(
                response, MAX_STALE_RESPONSE_BYTES
            )
            head = head_of(response)
        else:
            raise HTTPException("the answers belong to other requests")
        if self._is_doubtful:
            self._end_doubt()
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
        self.judge_response = None
        return super()._end()


def head_of(response):
    """Return the `ResponseHead` of a `StrictResponse`."""
    return ResponseHead(response.status, tuple(response.headers.items()))
