"""Expected delay of a demand, for admission and for Retry-After."""

import math
from collections import defaultdict

import numpy as np

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 30.0
# Refused callers come back spread over this part of their Retry-After.
JITTER_FRACTION = 0.5
# Work that arrives from higher tiers is remembered with this time constant.
ARRIVAL_DECAY_SECONDS = 3.0
# Part of the speed that is always counted for a tier, however much comes above.
MIN_THROUGHPUT_FRACTION = 0.05
SMOOTHING = 0.05


class DelayEstimator:
    """Estimates how long a demand waits for its grant.

    The speed is what the targets give at their limits by their learnt paces.
    Ahead of a demand is the work of its own and of higher tiers, of each other
    workspace at most as much as its own workspace has waiting, since those are
    served in turn; what arrives from higher tiers meanwhile lowers the speed.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator or None
        Source of the jitter.
    """

    def __init__(self, clock, rng=None):
        self.clock = clock
        self.rng = rng or np.random.default_rng()
        self.output_ratio = 1.0
        self._arrived_work_by_tier = defaultdict(float)
        self._decayed_at = clock()

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
        if demand.output_tokens and completion.output_tokens:
            ratio = min(1.0, completion.output_tokens / demand.output_tokens)
            self.output_ratio += SMOOTHING * (ratio - self.output_ratio)

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
        self._decay()
        wait = self._expected_wait(queue, waiting.demand, targets)
        if wait <= waiting.demand.max_wait:
            self._arrived_work_by_tier[waiting.demand.tier] += work_of(waiting.demand)
        return wait

    def retry_after(self, queue, waiting, targets):
        """Return the seconds until a repeat of a given-up demand is worthwhile."""
        demand = waiting.demand
        excess = self._expected_wait(queue, demand, targets) - demand.max_wait / 2
        seconds = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, excess))
        # Written into answers, where a number of NumPy has no form.
        return float(seconds * (1 + JITTER_FRACTION * self.rng.random()))

    def _expected_wait(self, queue, demand, targets):
        throughput = sum(throughput_of(record) for record in targets if record.serving)
        if throughput == 0:
            return 0.0
        higher_tier_work = sum(
            work
            for tier, work in self._arrived_work_by_tier.items()
            if tier < demand.tier
        )
        available = (
            throughput - self.output_ratio * higher_tier_work / ARRIVAL_DECAY_SECONDS
        )
        available = max(available, MIN_THROUGHPUT_FRACTION * throughput)
        return self.output_ratio * work_ahead(queue, demand) / available

    def _decay(self):
        now = self.clock()
        factor = math.exp((self._decayed_at - now) / ARRIVAL_DECAY_SECONDS)
        self._decayed_at = now
        for tier in self._arrived_work_by_tier:
            self._arrived_work_by_tier[tier] *= factor


def work_of(demand):
    """Return the tokens that a demand asks an engine for; 1 at a plain service."""
    return max(1, demand.output_tokens)


def throughput_of(record):
    """Return the work a second of a target at its limit; 0 when not known."""
    pace = record.limit.pace(record.limit.current)
    return record.limit.current / pace if pace > 0 else 0.0


def work_ahead(queue, demand):
    """Return the work that is served before a demand."""
    higher = 0
    same: defaultdict[str, int] = defaultdict(int)
    for other in queue:
        if other.demand.tier < demand.tier:
            higher += work_of(other.demand)
        elif other.demand.tier == demand.tier:
            same[other.demand.workspace] += work_of(other.demand)
    own = same.pop(demand.workspace, 0)
    per_workspace_limit = own + work_of(demand)
    return higher + own + sum(min(work, per_workspace_limit) for work in same.values())
