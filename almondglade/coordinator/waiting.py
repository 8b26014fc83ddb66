"""Demands that wait for a grant, with their timers."""

import heapq
import itertools


class WaitingDemands:
    """The queue of a pool, the demands parked outside of it, and their timers.

    A demand is parked while the lease of its entry is expired, since no permit can be
    granted to the entry then.

    Parameters
    ----------
    queue : QueueOrder
        Order in which demands are granted.
    """

    def __init__(self, queue):
        self.queue = queue
        self.by_request = {}
        self.parked_by_entry = {}
        self._timers = []
        self._numbers = itertools.count()

    def __len__(self):
        return len(self.by_request)

    def __contains__(self, request_id):
        return request_id in self.by_request

    def add(self, waiting, preempt_at):
        """Queue a demand.

        Parameters
        ----------
        waiting : WaitingDemand
            The demand.
        preempt_at : float
            Clock reading at which `due` returns the demand for the first time, so that
            a run may be preempted for it before its deadline; seconds.
        """
        self.by_request[waiting.demand.request_id] = waiting
        self.queue.push(waiting)
        self._schedule(waiting, preempt_at)
        self._schedule(waiting, waiting.deadline)

    def park(self, waiting):
        """Remove a demand from the queue until its entry's lease is renewed."""
        self.queue.remove(waiting.demand.request_id)
        parked = self.parked_by_entry.setdefault(waiting.entry, {})
        parked[waiting.demand.request_id] = waiting

    def is_parked(self, waiting):
        """Return whether a demand waits for its entry's lease to be renewed."""
        parked = self.parked_by_entry.get(waiting.entry, {})
        return waiting.demand.request_id in parked

    def unpark(self, entry):
        """Queue the parked demands of an entry again."""
        for waiting in self.parked_by_entry.pop(entry, {}).values():
            self.queue.push(waiting)

    def remove(self, request_id):
        """Remove and return a demand, or None if it is not waiting."""
        waiting = self.by_request.pop(request_id, None)
        if waiting is None:
            return None
        self.queue.remove(request_id)
        self.parked_by_entry.get(waiting.entry, {}).pop(request_id, None)
        return waiting

    def of_entry(self, entry):
        """Return the waiting demands of one entry."""
        return [w for w in self.by_request.values() if w.entry == entry]

    def due(self, now):
        """Return the demands whose preemption time or deadline has passed."""
        due = []
        while self._timers and self._timers[0][0] <= now:
            _, _, waiting = heapq.heappop(self._timers)
            if self.by_request.get(waiting.demand.request_id) is waiting:
                due.append(waiting)
        return due

    def _schedule(self, waiting, at):
        heapq.heappush(self._timers, (at, next(self._numbers), waiting))
