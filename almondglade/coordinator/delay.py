"""Estimate the delay of a demand, for admission control and for Retry-After."""

import math
from collections import defaultdict

import numpy as np

MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0
# Retry-After is lengthened at random by up to this share, so that refused callers
# do not all retry at once.
JITTER_SHARE = 0.5
# Time constant of the exponential decay of the arrived work of each tier.
ARRIVAL_DECAY_SECONDS = 3.0
# A tier is assumed to get at least this share of the throughput, however much
# work arrives from higher tiers.
MIN_THROUGHPUT_SHARE = 0.05
# Weight of the newest run in the exponential average of the output ratio.
OUTPUT_RATIO_WEIGHT = 0.05


class DelayEstimator:
    """Estimates how long a demand waits for its grant.

    The estimate is the work ahead of the demand divided by the throughput. The
    throughput is that of all targets at their concurrency limits, from their measured
    paces, less the work that keeps arriving from higher tiers. The work ahead is that
    of higher tiers and of the demand's own tier. In its own tier, another workspace
    counts with at most as much work as the demand's workspace has waiting, including
    the demand itself, since workspaces of one tier are served in turn.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator or None
        Random number generator for the jitter; a new one if None.

    Attributes
    ----------
    output_ratio : float
        Average ratio of actual to estimated output tokens, each run at most 1.
    """

    def __init__(self, clock, rng=None):
        self.clock = clock
        self.rng = rng or np.random.default_rng()
        self.output_ratio = 1.0
        self._arrived_work_by_tier = defaultdict(float)
        self._decayed_at = clock()

    def complete(self, record, demand, completion):
        """Update the output ratio with a run that ended.

        Parameters
        ----------
        record : TargetRecord
            Target of the run.
        demand : Demand
            Demand that ran.
        completion : Completion
            Result of the run.
        """
        if demand.output_tokens and completion.output_tokens:
            ratio = min(1.0, completion.output_tokens / demand.output_tokens)
            self.output_ratio += OUTPUT_RATIO_WEIGHT * (ratio - self.output_ratio)

    def estimate(self, queue, waiting, targets):
        """Return the expected seconds until a demand is granted.

        A demand that is expected to be granted in time is counted as arrived work.

        Parameters
        ----------
        queue : QueueOrder
            The other waiting demands.
        waiting : WaitingDemand
            The demand, not in the queue yet.
        targets : collection of TargetRecord
            Targets of the pool.
        """
        self._decay()
        wait = self._expected_wait(queue, waiting.demand, targets)
        if wait <= waiting.demand.max_wait:
            self._arrived_work_by_tier[waiting.demand.tier] += work_of(waiting.demand)
        return wait

    def retry_after(self, queue, waiting, targets):
        """Return the seconds after which a refused demand should be retried."""
        demand = waiting.demand
        excess = self._expected_wait(queue, demand, targets) - demand.max_wait / 2
        seconds = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, excess))
        # The value is serialised into responses, which fails for NumPy numbers.
        return float(seconds * (1 + JITTER_SHARE * self.rng.random()))

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
        available = max(available, MIN_THROUGHPUT_SHARE * throughput)
        return self.output_ratio * work_ahead(queue, demand) / available

    def _decay(self):
        now = self.clock()
        factor = math.exp((self._decayed_at - now) / ARRIVAL_DECAY_SECONDS)
        self._decayed_at = now
        for tier in self._arrived_work_by_tier:
            self._arrived_work_by_tier[tier] *= factor


def work_of(demand):
    """Return the estimated output tokens of a demand; 1 for a plain service."""
    return max(1, demand.output_tokens)


def throughput_of(record):
    """Return the work per second of a target at its limit; 0 if unknown."""
    pace = record.limit.pace(record.limit.current)
    return record.limit.current / pace if pace > 0 else 0.0


def work_ahead(queue, demand):
    """Return the work, in output tokens, that is served before a demand."""
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
