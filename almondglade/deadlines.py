"""Deadlines for blocking reads and writes, run by one timer thread.

A socket timeout limits a single read, so a peer that sends one byte per second never
exceeds it; a deadline limits the total time.
"""

import heapq
import itertools
import threading
import time

from .log import get_logger

log = get_logger("deadlines")

# Cancelled deadlines are removed when the heap has this many entries, or twice as many
# as were left by the last removal.
MIN_CLEANUP_ENTRIES = 256


class Deadline:
    """A callback that is scheduled for a time and can be cancelled."""

    def __init__(self, callback):
        self._callback = callback

    @property
    def cancelled(self):
        """Whether the callback was cancelled or has already been called."""
        return self._callback is None

    def cancel(self):
        """Drop the callback; does not wait for a call that has already begun."""
        self._callback = None

    def fire(self):
        """Call the callback unless it was cancelled or already called."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class Deadlines:
    """Calls callbacks at their scheduled times, in a background thread.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._heap: list[tuple[float, int, Deadline]] = []
        self._sequence_numbers = itertools.count()
        self._changed = threading.Condition()
        self._thread = None
        self._max_heap_entries = MIN_CLEANUP_ENTRIES

    def __len__(self):
        return len(self._heap)

    def call_at(self, when, callback):
        """Schedule a callback, which must not block.

        Parameters
        ----------
        when : float
            Reading of the clock, seconds.
        callback : callable
            Called without arguments in the timer thread.

        Returns
        -------
        Deadline
            Handle that can cancel the call.
        """
        deadline = Deadline(callback)
        with self._changed:
            if len(self._heap) >= self._max_heap_entries:
                self._remove_cancelled()
            heapq.heappush(self._heap, (when, next(self._sequence_numbers), deadline))
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()
            if self._heap[0][2] is deadline:
                self._changed.notify()
        return deadline

    def _remove_cancelled(self):
        self._heap = [entry for entry in self._heap if not entry[2].cancelled]
        heapq.heapify(self._heap)
        self._max_heap_entries = max(MIN_CLEANUP_ENTRIES, 2 * len(self._heap))

    def _run(self):
        while True:
            deadline = self._wait_for_next()
            try:
                deadline.fire()
            except Exception:
                log.exception("the callback of a deadline failed")

    def _wait_for_next(self):
        with self._changed:
            while True:
                wait = self._heap[0][0] - self._clock() if self._heap else None
                if wait is not None and wait <= 0:
                    return heapq.heappop(self._heap)[2]
                self._changed.wait(wait)
