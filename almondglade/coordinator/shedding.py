"""Shed load by tier when not all demands can be served."""

import math

from ..messages import Preemption, Refusal, RefusalReason
from .queues import WaitingDemand

# Lower tiers are granted again when a tier has not been shed for this long.
RECOVERY_SECONDS = 1.0
# A run is preempted for a waiting demand of a higher tier this long before the demand's
# deadline, or after half of its maximum wait if that is later.
PREEMPT_LEAD_SECONDS = 1.0
# A preemptor is a demand for which a run was preempted. When this many are remembered,
# those that no longer wait are discarded.
MAX_PREEMPTORS = 1024


class AdmissionLevel:
    """Tracks which tiers may be granted after demands were shed.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self._shed_at_by_tier: dict[int, float] = {}

    @property
    def lowest_tier(self):
        """Highest tier number (lowest priority) granted now; infinite if all are."""
        since = self.clock() - RECOVERY_SECONDS
        return min(
            (
                tier
                for tier, shed_at in self._shed_at_by_tier.items()
                if shed_at > since
            ),
            default=math.inf,
        )

    def record_shed(self, tier):
        """Record that a demand of a tier was shed.

        No lower tier is granted for `RECOVERY_SECONDS`. Each tier has its own timer,
        since the shedding of a tier that is not granted must not extend the time for
        which a higher tier blocks it.
        """
        self._shed_at_by_tier[tier] = self.clock()


def preemption_time(waiting):
    """Return when to preempt a run so that a demand may be granted in time."""
    wait = waiting.deadline - waiting.arrived_at
    return waiting.deadline - min(PREEMPT_LEAD_SECONDS, wait / 2)


def run_to_preempt(records, tier):
    """Return the run to preempt for a demand of a tier, or None.

    It is of the lowest tier that has a preemptible run, and in that tier the most
    recently granted one, which loses the least work.

    Parameters
    ----------
    records : iterable of TargetRecord
        Targets of the pool.
    tier : int
        Tier of the demand.
    """
    runs = (
        run
        for record in records
        if record.serving
        for run in record.running_by_request.values()
        if run.demand.tier > tier
        and run.demand.preemptible
        and not run.preempted
        and run.lost_at is None
    )
    return max(runs, key=lambda run: (run.demand.tier, run.granted_at), default=None)


class Shedder:
    """Refuses waiting demands and preempts runs, lower tiers before higher ones.

    Parameters
    ----------
    pool : Pool
        State of the pool.
    """

    def __init__(self, pool):
        self.pool = pool
        self._preemptors: set[str] = set()

    def preempt_lower_tier(self, demand):
        """Preempt one run of a lower tier for a demand, at most once per demand.

        Returns
        -------
        bool
            True while a preempted run is ending to make room for the demand.
        """
        if demand.request_id in self.pool.preemptor_by_request.values():
            return True
        if demand.request_id in self._preemptors:
            return False
        run = run_to_preempt(self.pool.targets_by_id.values(), demand.tier)
        if run is None:
            return False
        self._record_preemptor(demand)
        run.preempted = True
        self.pool.preemptor_by_request[run.demand.request_id] = demand.request_id
        waiting = WaitingDemand(
            run.entry, run.demand, self.pool.clock(), self.pool.clock()
        )
        self.pool.send(
            run.entry, Preemption(run.demand.request_id, self._retry_after(waiting))
        )
        return True

    def _record_preemptor(self, demand):
        if len(self._preemptors) >= MAX_PREEMPTORS:
            self._preemptors &= self.pool.waiting_demands.by_request.keys()
        self._preemptors.add(demand.request_id)

    def shed(self, waiting):
        """Refuse a demand as overloaded and block lower tiers for a time."""
        self.pool.admission_level.record_shed(waiting.demand.tier)
        self._refuse(waiting, RefusalReason.OVERLOADED)

    def expire(self, waiting):
        """Refuse a demand whose deadline has passed.

        A demand that waited for its entry's lease or for a solo run does not indicate
        overload, so lower tiers are not blocked for it.
        """
        request_id = waiting.demand.request_id
        if self.pool.waiting_demands.is_parked(waiting):
            self._refuse(waiting, RefusalReason.NO_COORDINATOR)
        elif request_id in self.pool.solo.waiting_by_request:
            self._refuse(waiting, RefusalReason.OVERLOADED)
        else:
            self.shed(waiting)

    def _refuse(self, waiting, reason):
        self.pool.drop(waiting)
        self.pool.send(
            waiting.entry,
            Refusal(waiting.demand.request_id, reason, self._retry_after(waiting)),
        )

    def _retry_after(self, waiting):
        targets = self.pool.targets_by_id.values()
        return self.pool.delay.retry_after(self.pool.queue, waiting, targets)
