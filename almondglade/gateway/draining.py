"""Decide what a stopping gateway still sends, and end what does not end in time.

Load pattern: at a stop, requests wait for slots of full targets, or their bodies arrive
slowly. If they were sent late in the grace time, the end of the process would cut them
without an answer, also those that may not be repeated.
"""

import math
import threading
import weakref

from ..log import get_logger
from ..outcome import Code, Outcome, RequestError

log = get_logger("stop")

# Other instances take the request at once.
RETRY_AFTER_SECONDS = 0.0


class Draining:
    """The stop of a gateway: what it may still send, and which calls are open.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self._sends_until = math.inf
        self._ends_at = math.inf
        self._calls: weakref.WeakSet = weakref.WeakSet()
        self._lock = threading.Lock()

    def start(self, sends_until, ends_at):
        """Start to drain.

        Parameters
        ----------
        sends_until, ends_at : float
            Until when any request is sent, and when those in progress are ended
            (monotonic seconds).
        """
        self._sends_until, self._ends_at = sends_until, ends_at

    def check(self, request):
        """Refuse to send a request that may not end in time.

        One whose time limit ends before is sent, and a stream that has begun goes on
        for as long as it can.

        Raises
        ------
        RequestError
            If the request is not to be sent, or not once more.
        """
        now = self.clock()
        if now < self._sends_until:
            return
        is_begun_stream = request.route.streaming and request.may_have_run
        if now < self._ends_at and (
            request.deadline <= self._ends_at or is_begun_stream
        ):
            return
        log.info(
            "request not sent: this instance is stopping",
            request=request.request_id,
            may_have_run=request.may_have_run,
            time_left=round(request.deadline - now, 3),
            grace_left=round(self._ends_at - now, 3),
        )
        if request.may_have_run:
            raise RequestError(
                Code.TARGET_FAILED, "this instance is stopping", Outcome.UNKNOWN
            )
        raise RequestError(
            Code.STOPPING,
            "this instance is stopping",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def watch(self, call):
        """Keep track of a call for as long as it is used."""
        with self._lock:
            self._calls.add(call)

    def end_calls(self):
        """Cancel the open calls, so that callers are answered before the process ends.

        Targets are not to blame for it, as they would be for a time limit.
        """
        with self._lock:
            calls = list(self._calls)
        for call in calls:
            call.cancel()
