"""Tier order when not everything can be served."""

import math

from ..messages import Preemption, Refusal, RefusalReason
from .queues import WaitingDemand

# Lower tiers are granted again after such a time without a shed.
RECOVERY_SECONDS = 1.0
# A run is cancelled for a waiting demand of a higher tier this long before the
# demand's deadline, or at half its wait if that is later.
PREEMPT_LEAD_SECONDS = 1.0
# Demands remembered as helped before those that have gone are dropped.
MAX_PREEMPTORS = 1024


class AdmissionLevel:
    """The lowest tier that is granted at present.

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
        """Highest tier number that is granted now; infinite when all are."""
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
        """Note that a demand was shed; no lower tier is granted for a time.

        Each tier has its own time: the shedding of a tier that is not granted
        must not prolong the time of those above it.
        """
        self._shed_at_by_tier[tier] = self.clock()


def preemption_time(waiting):
    """Return when a demand needs help to be granted before its deadline."""
    wait = waiting.deadline - waiting.arrived
    return waiting.deadline - min(PREEMPT_LEAD_SECONDS, wait / 2)


def run_to_preempt(records, tier):
    """Return the run to cancel for a demand of a tier, or None.

    The lowest tier goes first, and in it the run that has used least.

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
    """Gives demands up, lower tiers before higher ones.

    Parameters
    ----------
    pool : Pool
        State of the pool.
    """

    def __init__(self, pool):
        self.pool = pool
        self._preemptors: set[str] = set()

    def preempt_lower_tier(self, demand):
        """Cancel one run of a lower tier for a demand, unless one was before.

        Returns
        -------
        bool
            True while a cancelled run makes room.
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
        """Give a demand up; no lower tier is granted for a time."""
        self.pool.admission_level.record_shed(waiting.demand.tier)
        self._refuse(waiting, RefusalReason.OVERLOADED)

    def expire(self, waiting):
        """Give a demand up whose deadline has come.

        What waits for its entry to be heard, or for a target of its own, says
        nothing of the load, so lower tiers are not held back for it.
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
