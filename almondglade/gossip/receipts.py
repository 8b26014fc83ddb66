"""Date the messages that an instance reads after it stood still.

Load pattern: an instance stands still for seconds while its peers tell of events whose
order decides, such as that a request crashed a target after an earlier run completed.
Messages tell how old an event was when they were sent, and lie unread until the
instance goes on.
"""

from ..log import get_logger

log = get_logger("fleet")

# The event loop runs more often than this, so that the instance stood still in a longer
# time between two of its runs.
MAX_PAUSE_SECONDS = 1.0
# Reports with a shorter delay did not lie unread.
MAX_USUAL_DELAY_SECONDS = 0.3
# All that lay unread has been read after this time.
MAX_BACKLOG_SECONDS = 1.0


class ReceiptTimes:
    """Tells when the datagram that is being read was sent, after a pause.

    Datagrams are read in the order of their arrival, so that those next to a report
    that lay unread did so too.
    """

    def __init__(self):
        self._ran_at = float("-inf")
        self._ran_at_boottime: float | None = None
        self._delay = 0.0
        self._paused_at = float("-inf")
        self._backlog_until = float("-inf")

    def record_running(self, now, boottime):
        """Record that this instance runs; called for each datagram, and in between.

        Parameters
        ----------
        now : float
            Monotonic time, which does not count a suspension of the host.
        boottime : float
            Time of a clock that also runs while the host is suspended.
        """
        if self._ran_at_boottime is not None:
            pause = boottime - self._ran_at_boottime
            if pause > MAX_PAUSE_SECONDS:
                # Until a report tells more, a datagram may have come at once.
                self._delay, self._paused_at = pause, self._ran_at
                self._backlog_until = boottime + MAX_BACKLOG_SECONDS
                log.info("went on after a pause", seconds=round(pause, 3))
        if boottime > self._backlog_until:
            self._delay = 0.0
        self._ran_at, self._ran_at_boottime = now, boottime

    def record_delay(self, delay):
        """Record the delay of the report that is being read; None if not known."""
        if delay is not None and self._delay > 0.0:
            self._delay = delay if delay > MAX_USUAL_DELAY_SECONDS else 0.0

    def sent_at(self, now):
        """Return the monotonic time at which the datagram being read was sent.

        It is not before the pause, however long that was on the other clock.
        """
        return max(now - self._delay, self._paused_at)
