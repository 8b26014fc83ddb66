"""Date the messages that an instance reads after it stood still.

Load pattern: an instance stands still for seconds while its peers tell of events whose
order decides, such as that a request crashed a target after an earlier run completed.
Messages tell how old an event was when they were sent, and lie unread until the
instance goes on.
"""

from ..log import get_logger

log = get_logger("fleet")

# A live peer sends more often than this, so that after a longer silence this instance
# has stood still, or was cut off.
MAX_SILENCE_SECONDS = 1.0
# Reports with a shorter delay did not lie unread.
MAX_USUAL_DELAY_SECONDS = 0.3
# All that lay unread has been read after this time.
MAX_BACKLOG_SECONDS = 2.0


class ReceiptTimes:
    """Tells when the datagram that is being read was sent, as far as that matters.

    Datagrams are read in the order of their arrival, so that those around a report that
    lay unread did so too. Times of suspended hosts differ by clock: what was sent
    during a suspension counts as sent at its begin at the earliest.
    """

    def __init__(self):
        self._read_at = float("-inf")
        self._read_at_boottime: float | None = None
        self._delay = 0.0
        self._earliest = float("-inf")
        self._backlog_until = float("-inf")

    def record_datagram(self, now, boottime):
        """Record that a datagram is read.

        Parameters
        ----------
        now : float
            Monotonic time.
        boottime : float
            Time of a clock that also runs while the host is suspended.
        """
        if self._read_at_boottime is not None:
            silence = boottime - self._read_at_boottime
            if silence > MAX_SILENCE_SECONDS:
                # Until a report tells more, it may have been sent at once.
                self._delay, self._earliest = silence, self._read_at
                self._backlog_until = boottime + MAX_BACKLOG_SECONDS
                log.info("heard peers after a silence", silent=round(silence, 3))
        if boottime > self._backlog_until:
            self._delay = 0.0
        self._read_at, self._read_at_boottime = now, boottime

    def record_delay(self, delay):
        """Record the delay of the report that is being read; None if not known."""
        if delay is not None and self._delay > 0.0:
            self._delay = delay if delay > MAX_USUAL_DELAY_SECONDS else 0.0

    def sent_at(self, now):
        """Return the monotonic time at which the datagram being read was sent."""
        return max(now - self._delay, min(self._earliest, now))
