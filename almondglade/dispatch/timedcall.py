"""Time limits of one exchange with a target, enforced by shutting its socket down."""

import threading
from typing import Any

from ..sockets import reset_on_close, shut_down
from .callresult import (
    BrokenCallError,
    CallCancelledError,
    CallTimeoutError,
    DoubtfulRefusalError,
    NotSentError,
)

# A target that is silent is asked about again after this time: a slot may become free
# elsewhere, and a caller waits for a stream for at least two seconds.
HANDOVER_CHECK_SECONDS = 0.1


class TimedCall:
    """The time limits of a call.

    Parameters
    ----------
    limits : CallLimits or TimeLimits
    attempt : Attempt
    deadlines : Deadlines
        Timer that enforces the time limits of the response.
    clock : callable
        Returns monotonic seconds.
    is_replaceable : callable or None
        Returns whether another target is known to take the request up; asked when the
        target has been silent for too long, in the timer thread, and again for as long
        as it stays silent. Without it, the call ends at once.
    """

    def __init__(self, limits, attempt, deadlines, clock, is_replaceable=None):
        self.limits = limits
        self.attempt = attempt
        self.deadlines = deadlines
        self.clock = clock
        self.is_replaceable = is_replaceable
        self.started_at = clock()
        self.cancelled = False
        self._expired = False
        self._ended = False
        self._has_body = False
        self._is_doubtful = False
        # Time counts towards the gap limit only while a read waits for the target, not
        # while the caller of `read` is busy. What a read without an event has waited
        # counts for the next one too.
        self._waiting_since: float | None = None
        self._lock = threading.Lock()
        # Kept separately, because the connection drops its reference when the target
        # announces that it will close.
        self._socket: Any = None
        self._deadline: Any = None
        self._gap_deadline: Any = None

    def cancel(self):
        """Shut down the connection in any phase; safe from any thread."""
        with self._lock:
            if self._ended:
                return
            self.cancelled = True
            if self._socket is not None:
                self._shut_down_socket()

    def _limit_first_byte(self):
        """Limit the time until the first byte of the body, or the total time."""
        if self.limits.first_byte < self.limits.total:
            due = self.started_at + self.limits.first_byte
            self._deadline = self.deadlines.call_at(due, self._check_first_byte)
        else:
            self._set_deadline(self.limits.total)

    def _check_first_byte(self):
        """Expire the call if another target takes it up; else schedule a check."""
        now = self.clock()
        is_late = now - self.started_at >= self.limits.total
        if self._has_body or self._is_doubtful or self._ended:
            return
        if is_late or self._may_give_up():
            self.expire()
            return
        due = min(now + HANDOVER_CHECK_SECONDS, self.started_at + self.limits.total)
        with self._lock:
            if not (self._has_body or self._is_doubtful or self._ended):
                self._deadline = self.deadlines.call_at(due, self._check_first_byte)

    def _may_give_up(self):
        return self.is_replaceable is None or self.is_replaceable()

    def _limit_doubt(self, seconds):
        """End the call unless another answer follows within some seconds."""
        with self._lock:
            self._is_doubtful = True
            self._deadline.cancel()
            left = self.started_at + self.limits.total - self.clock()
            self._set_deadline(self.clock() - self.started_at + min(seconds, left))

    def _end_doubt(self):
        """Limit the time until the first byte again, as an answer has followed."""
        with self._lock:
            if self._expired:
                return
            self._is_doubtful = False
            self._deadline.cancel()
            self._limit_first_byte()

    def _watch_gaps(self):
        """Limit each gap and the total time, from the first part of the body on."""
        self._waiting_since = None
        with self._lock:
            self._has_body = True
            self._deadline.cancel()
            self._set_deadline(self.limits.total)
        self._check_gap()

    def _check_gap(self):
        """Expire the call if the current gap is too long; else schedule a check.

        A target that is silent goes on until another one takes the request up.
        """
        limit = self.limits.between_bytes
        now = self.clock()
        since = self._waiting_since
        is_silent = since is not None and now - since >= limit
        if is_silent and not self._ended and self._may_give_up():
            self.expire()
        elif not self._ended:
            due = (now if since is None else since) + limit
            if is_silent:
                due = now + HANDOVER_CHECK_SECONDS
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

    def _end(self):
        """Stop all use of the socket; return whether this was the first call."""
        with self._lock:
            first, self._ended = not self._ended, True
        # The call and its owner would keep each other, and the body, until the garbage
        # collector runs.
        self.is_replaceable = None
        for deadline in (self._deadline, self._gap_deadline):
            if deadline is not None:
                deadline.cancel()
        return first

    def _translate(self, error):
        if not self.attempt.dispatched:
            return NotSentError(f"the request cannot be sent: {error}")
        if self.cancelled:
            return CallCancelledError("the call was cancelled")
        if self._expired and self._is_doubtful:
            return DoubtfulRefusalError("the target repeated a refusal")
        if self._expired:
            return CallTimeoutError("the target was silent or busy for too long")
        return BrokenCallError(f"the connection to the target failed: {error}")
