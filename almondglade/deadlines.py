"""Deadlines for blocking reads and writes, kept by one thread.

A socket timeout bounds one read, not a peer that sends a byte a second; a
deadline bounds the whole.
"""

import heapq
import itertools
import threading
import time

from .log import get_logger

log = get_logger("deadlines")

# Cancelled deadlines are swept out when this many, or twice the live ones, wait.
MIN_SWEEP = 256


class Deadline:
    """One callback that is due at a time, unless cancelled before."""

    def __init__(self, callback):
        self._callback = callback

    @property
    def cancelled(self):
        """Whether there is nothing left to call."""
        return self._callback is None

    def cancel(self):
        """Forget the callback; a call that has begun is not waited for."""
        self._callback = None

    def fire(self):
        """Call the callback, once."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class Deadlines:
    """Calls callbacks when they are due.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._heap: list[tuple[float, int, Deadline]] = []
        self._numbers = itertools.count()
        self._changed = threading.Condition()
        self._thread = None
        self._sweep_at = MIN_SWEEP

    def __len__(self):
        return len(self._heap)

    def call_at(self, when, callback):
        """Call a callback, which must not block, at a time.

        Returns
        -------
        Deadline
            Can be cancelled.
        """
        deadline = Deadline(callback)
        with self._changed:
            if len(self._heap) >= self._sweep_at:
                self._sweep()
            heapq.heappush(self._heap, (when, next(self._numbers), deadline))
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()
            if self._heap[0][2] is deadline:
                self._changed.notify()
        return deadline

    def _sweep(self):
        self._heap = [entry for entry in self._heap if not entry[2].cancelled]
        heapq.heapify(self._heap)
        self._sweep_at = max(MIN_SWEEP, 2 * len(self._heap))

    def _run(self):
        while True:
            deadline = self._take_next()
            try:
                deadline.fire()
            except Exception:
                log.exception("a deadline's callback failed")

    def _take_next(self):
        with self._changed:
            while True:
                wait = self._heap[0][0] - self._clock() if self._heap else None
                if wait is not None and wait <= 0:
                    return heapq.heappop(self._heap)[2]
                self._changed.wait(wait)
