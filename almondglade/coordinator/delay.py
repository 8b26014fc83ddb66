"""Expected delay of a demand, for admission and for Retry-After."""

MIN_RETRY_SECONDS = 0.5


class DelayEstimator:
    """Estimates how long a demand waits for its grant.

    The coordinator calls `complete` for each run that ended, `estimate` before
    it queues a demand and `retry_after` when it gives one up.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock

    def complete(self, record, demand, completion):
        """Learn from a run that ended.

        Parameters
        ----------
        record : TargetRecord
            Where it ran.
        demand : Demand
            What ran.
        completion : Completion
            How it ended.
        """

    def estimate(self, queue, waiting, targets):
        """Return the expected seconds until a demand's grant.

        Parameters
        ----------
        queue : QueueOrder
            Other waiting demands.
        waiting : Waiting
            The demand; not yet in the queue.
        targets : collection of TargetRecord
            Targets of the pool.
        """
        return 0.0

    def retry_after(self, queue, waiting, targets):
        """Return the seconds until a repeat of a given-up demand is worthwhile."""
        return max(MIN_RETRY_SECONDS, waiting.demand.max_wait / 2)
