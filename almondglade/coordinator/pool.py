"""State of a coordinated pool, shared by the classes that make its decisions."""

import itertools
from dataclasses import dataclass
from typing import Any

from ..messages import Grant, PoolState, Preemption, Refusal
from ..plugins import find_plugin
from .budgets import BudgetTable
from .choices import TargetChoice
from .delay import DelayEstimator
from .leases import LeaseTable
from .limits import LimitPolicy
from .queues import QueueOrder
from .shedding import AdmissionLevel
from .solo import SoloRuns
from .suspects import SuspectTable
from .targets import Run, TargetRecord
from .waiting import WaitingDemands

# Time that the entries are given to join a new coordinator.
JOIN_GRACE_SECONDS = 3.0


@dataclass(frozen=True)
class Policies:
    """Names of the policy plug-ins that a coordinator uses."""

    queue_order: str = "tiered"
    target_choice: str = "expected-finish"
    limits: str = "adaptive"


@dataclass(frozen=True)
class AddressedMessage:
    """A message and the id of the entry that it is sent to."""

    entry: str
    message: Grant | Refusal | Preemption


class Pool:
    """Targets, permits, entry leases and waiting demands of one pool.

    Parameters
    ----------
    pool : str
        Service id.
    term : str
        Identifies this coordinator and its incarnation.
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator
        Random number generator.
    policies : Policies or None
        Plug-ins to use; the default ones if None.

    Attributes
    ----------
    published : int
        Instances on the list that the platform publishes.
    preemptor_by_request : dict of str to str
        For each preempted run, the demand that it makes room for; request ids.
    outbox : list of AddressedMessage
        Messages to send with the next decisions.
    """

    def __init__(self, pool, term, clock, rng, policies=None):
        policies = policies or Policies()
        self.pool = pool
        self.term = term
        self.clock = clock
        self.started_at = clock()
        self.declarations: Any = None
        self.published = 1
        self.leases = LeaseTable(clock)
        self.budgets = BudgetTable(clock)
        self.delay = DelayEstimator(clock, rng)
        self.admission_level = AdmissionLevel(clock)
        self.suspects = SuspectTable(clock)
        self.solo = SoloRuns()
        self.waiting_demands = WaitingDemands(
            find_plugin(QueueOrder, policies.queue_order)()
        )
        self.queue = self.waiting_demands.queue
        self.choice = find_plugin(TargetChoice, policies.target_choice)(clock, rng)
        self.limit_policy = find_plugin(LimitPolicy, policies.limits)
        self.targets_by_id: dict[str, TargetRecord] = {}
        self.running_by_request: dict[str, Run] = {}
        self.preemptor_by_request: dict[str, str] = {}
        self.permit_ids = itertools.count(1)
        self.outbox: list[AddressedMessage] = []

    def drop(self, waiting):
        """Remove a waiting demand without a grant and refund its budget."""
        self.waiting_demands.remove(waiting.demand.request_id)
        self.solo.remove(waiting.demand.request_id)
        self.release_budget(waiting.demand, ran=False)

    def reset_to_cold(self, record):
        """Return a target to the cold limit."""
        record.limit.reset_to_cold()
        record.limit_lowered = True

    def start(self, record, run):
        """Count a permit as in progress."""
        self.running_by_request[run.demand.request_id] = run
        record.start(run)

    def end(self, record, run):
        """Stop counting a permit."""
        request_id = run.demand.request_id
        self.running_by_request.pop(request_id, None)
        self.preemptor_by_request.pop(request_id, None)
        record.end(request_id)

    def forget(self, record, run):
        """Stop counting a permit whose completion will not be reported."""
        self.end(record, run)
        self.solo.remove(run.demand.request_id)
        self.release_budget(run.demand, ran=True)

    def release_budget(self, demand, ran):
        """Settle a reservation at its estimate; refund it if the demand did not run."""
        self.budgets.settle(demand.workspace, demand.tokens, demand.tokens, ran)

    def allowance(self, workspace):
        """Return a workspace's allowance in this pool, or None if it has none."""
        if workspace not in self.declarations.workspaces:
            return None
        return self.declarations.allowance(workspace, self.pool)

    def queue_length(self):
        """Return the maximum number of waiting demands."""
        return self.declarations.services[self.pool].queue_length

    def send(self, entry, message):
        """Add a message for an entry to the outbox."""
        self.outbox.append(AddressedMessage(entry, message))

    @property
    def state(self):
        """The state that entries hand over to the next coordinator."""
        targets = tuple(record.state for record in self.targets_by_id.values())
        return PoolState(self.pool, targets, self.suspects.carried())

    @property
    def budget_fraction(self):
        """Fraction of the plans' budgets that this coordinator may allocate, 0 to 1.

        It is 1 for the first `JOIN_GRACE_SECONDS`, since the entries of a failed
        coordinator join one by one with demands that were within their plans.
        """
        if self.clock() - self.started_at < JOIN_GRACE_SECONDS:
            return 1.0
        return min(1.0, max(1, len(self.leases.by_entry)) / self.published)

    def allowed_permits(self, record):
        """Return how many permits this coordinator may have in progress at a target."""
        if not record.limit.is_available and self._has_available_target():
            return 0
        return record.foreign_permits.allowed_permits(
            record.limit.current, self.leases, self.published
        )

    def _has_available_target(self):
        return any(
            other.serving and other.limit.is_available
            for other in self.targets_by_id.values()
        )

    @property
    def wants_reports(self):
        """Whether a load report could allow more permits now."""
        counted = self.leases.counted_entries()
        return any(
            record.serving
            and (
                record.foreign_permits.bound is None
                or record.foreign_permits.bound.permits > 0
                or self.leases.counted_entries(record.foreign_permits.bound.taken_at)
                < counted
            )
            for record in self.targets_by_id.values()
        )

    def snapshot(self):
        """Return the state as plain values for the state dump."""
        return {
            "pool": self.pool,
            "term": self.term,
            "published": self.published,
            "counted": self.leases.counted_entries(),
            "entries": sorted(self.leases.by_entry),
            "waiting": len(self.waiting_demands),
            "lowest_tier": str(self.admission_level.lowest_tier),
            "suspects": len(self.suspects.by_fingerprint),
            "targets": {
                name: {
                    "serving": record.serving,
                    "limit": round(record.limit.limit, 2),
                    "allowed": self.allowed_permits(record),
                    "running": record.running,
                    "lost": len(record.lost_by_request),
                    "epoch": record.limit.epoch,
                }
                for name, record in sorted(self.targets_by_id.items())
            },
            "accounts": {
                name: {"accepted": account.accepted}
                for name, account in sorted(self.budgets.by_workspace.items())
            },
        }
