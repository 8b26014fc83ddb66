"""The decisions of a pool's coordinator.

A plain class without tasks of its own: the peers' tasks call it from one
thread and send on what it returns. It takes its clock and its source of random
numbers as arguments.
"""

import itertools
from dataclasses import dataclass
from typing import Any

from ..messages import (
    Completion,
    Demand,
    Grant,
    Preemption,
    Refusal,
    RefusalReason,
    Result,
)
from ..plugins import find_plugin
from .budgets import BudgetTable
from .choices import Candidate, TargetChoice
from .delay import DelayEstimator
from .leases import LeaseTable
from .limits import LimitPolicy
from .queues import QueueOrder, Waiting
from .shares import share
from .targets import Running, TargetRecord

# A load report taken less than this long after an entry was lost may still
# miss requests that it had in progress.
REPORT_SETTLE_SECONDS = 2.0
NO_TARGET_RETRY_SECONDS = 2.0


@dataclass(frozen=True)
class Policies:
    """Names of the plug-ins a coordinator uses."""

    queue_order: str = "tiered"
    target_choice: str = "expected-finish"
    limits: str = "adaptive"


@dataclass(frozen=True)
class Addressed:
    """A message and the entry it goes to."""

    entry: str
    message: Grant | Refusal | Preemption


class Coordinator:
    """Grants permits for the targets of one pool.

    Parameters
    ----------
    pool : str
        Service id.
    term : str
        Names this coordinator and its incarnation.
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator
        Source of random numbers.
    policies : Policies
        Plug-ins to use.
    """

    def __init__(self, pool, term, clock, rng, policies=None):
        policies = policies or Policies()
        self.pool = pool
        self.term = term
        self.clock = clock
        self.declarations: Any = None
        self.published = 1
        self.leases = LeaseTable(clock)
        self.budgets = BudgetTable(clock)
        self.delay = DelayEstimator(clock, rng)
        self.queue = find_plugin(QueueOrder, policies.queue_order)()
        self.choice = find_plugin(TargetChoice, policies.target_choice)(clock, rng)
        self.limit_policy = find_plugin(LimitPolicy, policies.limits)
        self.targets_by_id: dict[str, TargetRecord] = {}
        self.running_by_request: dict[str, Running] = {}
        self.heard_by_entry: dict[str, float] = {}
        self.parked_by_entry: dict[str, list[Waiting]] = {}
        self._permit_ids = itertools.count(1)
        self._outbox: list[Addressed] = []

    # Declarations and membership

    def configure(self, declarations):
        """Put a newer declared document in force."""
        self.declarations = declarations
        declared = declarations.targets_of(self.pool)
        service = declarations.services.get(self.pool)
        for name, target in declared.items():
            record = self.targets_by_id.get(name)
            if record is None:
                limit = self.limit_policy(name, target.max_concurrent, self.clock)
                record = TargetRecord(name, limit, service.limits.total)
                self.targets_by_id[name] = record
            record.limit.maximum = target.max_concurrent
            record.limit.token_gap = service.token_gap
            record.limit.warm_up = service.warm_up
            record.run_limit = service.limits.total
            was_serving = record.serving
            record.serving = declarations.takes_new_work(name)
            if record.serving and not was_serving:
                record.limit.rest()
        for name in self.targets_by_id.keys() - declared.keys():
            self.targets_by_id[name].serving = False

    def set_published(self, count):
        """Set the number of instances on the platform's list."""
        self.published = max(1, count)

    def join(self, entry, join):
        """Count an entry as connected and take over what it has running."""
        self.leases.grant(entry, join.counted_after)
        for state in join.targets:
            if (record := self.targets_by_id.get(state.target)) is not None:
                record.limit.adopt(state)
        for carried in join.permits:
            self._carry(entry, carried)
        for spend in join.spends:
            if (allowance := self._allowance(spend.workspace)) is not None:
                self.budgets.charge(
                    spend.workspace, allowance, spend.tokens, spend.requests
                )

    def is_joined(self, entry):
        """Tell whether an entry has joined, whether or not its lease runs."""
        return entry in self.leases.by_entry

    def _carry(self, entry, carried):
        demand = carried.demand
        record = self.targets_by_id.get(carried.target)
        if record is None:
            return
        known = self.running_by_request.get(demand.request_id)
        if known is not None:
            known.entry, known.lost_at = entry, None
            return
        now = self.clock()
        run = Running(
            entry,
            demand,
            carried.target,
            next(self._permit_ids),
            now - carried.age,
            now + record.run_limit,
        )
        self._start(record, run)
        if (allowance := self._allowance(demand.workspace)) is not None:
            self.budgets.hold(demand.workspace, allowance)

    def renew(self, entry, answered_at, heard_at):
        """Extend an entry's lease after an answered heartbeat.

        Parameters
        ----------
        entry : str
            Entry id.
        answered_at : float
            When the answered heartbeat was sent, on this clock.
        heard_at : float
            Latest reading of the entry's own clock.
        """
        self.leases.renew(entry, answered_at)
        self.heard_by_entry[entry] = heard_at
        if self._may_grant_to(entry):
            for waiting in self.parked_by_entry.pop(entry, ()):
                self.queue.push(waiting)

    def _may_grant_to(self, entry):
        # A grant to an entry whose lease has lapsed might arrive after it has
        # gone elsewhere; one to an entry never heard would bear no valid time.
        return self.leases.live(entry) and entry in self.heard_by_entry

    def leave(self, entry):
        """Drop an entry; what it has running stays counted for now."""
        self.leases.drop(entry)
        self.heard_by_entry.pop(entry, None)
        parked = self.parked_by_entry.pop(entry, [])
        for waiting in parked + [w for w in self.queue if w.entry == entry]:
            self.queue.remove(waiting.demand.request_id)
            self._release_budget(waiting.demand, ran=False)
        now = self.clock()
        for run in self.running_by_request.values():
            if run.entry == entry and run.lost_at is None:
                run.lost_at = now
                record = self.targets_by_id[run.target]
                run.release_by = now + record.run_limit

    # Requests

    def submit(self, entry, demand: Demand):
        """Queue a demand, or refuse it at once."""
        if (
            demand.request_id in self.running_by_request
            or demand.request_id in self._queued_ids()
        ):
            return
        allowance = self._allowance(demand.workspace)
        if allowance is None:
            self._refuse(entry, demand, RefusalReason.PLAN_LIMIT, 0.0)
            return
        if not any(record.serving for record in self.targets_by_id.values()):
            self._refuse(
                entry, demand, RefusalReason.NO_TARGET, NO_TARGET_RETRY_SECONDS
            )
            return
        wait = self.budgets.admit(demand.workspace, allowance, demand.tokens)
        if wait is not None:
            self._refuse(entry, demand, RefusalReason.PLAN_LIMIT, wait)
            return
        now = self.clock()
        waiting = Waiting(entry, demand, now, now + demand.max_wait)
        targets = self.targets_by_id.values()
        if self.delay.estimate(self.queue, waiting, targets) > demand.max_wait:
            self._shed(waiting)
            return
        self.queue.push(waiting)
        if len(self.queue) > self._queue_length():
            self._shed(self.queue.victim())

    def withdraw(self, entry, withdrawal):
        """Forget a waiting demand whose caller has gone."""
        request_id = withdrawal.request_id
        waiting = self.queue.remove(request_id) or self._unpark(request_id)
        if waiting is not None:
            self._release_budget(waiting.demand, ran=False)

    def finish(self, entry, completion: Completion):
        """End a permit and learn from its run."""
        run = self.running_by_request.pop(completion.request_id, None)
        if run is None:
            return
        record = self.targets_by_id[run.target]
        running = record.running
        record.running_by_request.pop(completion.request_id, None)
        ran = completion.result not in (Result.UNUSED, Result.REFUSED)
        used = completion.input_tokens + completion.output_tokens
        self.budgets.settle(run.demand.workspace, run.demand.tokens, used, ran)
        record.limit.complete(completion, running)
        self.delay.complete(record, run.demand, completion)
        self.choice.complete(run.target, run.demand, completion)

    def observe(self, report):
        """Take in a target's own load report."""
        record = self.targets_by_id.get(report.target)
        if record is None:
            return
        record.report = report
        if record.limit.observe_epoch(report.epoch):
            self.choice.forget(report.target)
            for run in record.lost():
                self._forget(record, run)
        taken_at = self.clock() - report.age
        settled = [
            run
            for run in record.lost()
            if run.lost_at + REPORT_SETTLE_SECONDS < taken_at
        ]
        surplus = record.running - report.running - report.waiting
        for run in settled[: max(0, surplus)]:
            self._forget(record, run)

    # Decisions

    def decide(self):
        """Return the messages that are due now.

        Returns
        -------
        list of Addressed
            Grants, refusals and preemptions, each with its entry.
        """
        self._expire()
        while (waiting := self.queue.peek()) is not None:
            candidates = self._candidates(waiting.demand)
            if not candidates:
                break
            self.queue.pop()
            if not self._may_grant_to(waiting.entry):
                self.parked_by_entry.setdefault(waiting.entry, []).append(waiting)
                continue
            self._grant(waiting, self.choice.choose(waiting.demand, candidates))
        outbox, self._outbox = self._outbox, []
        return outbox

    def _candidates(self, demand):
        counted = self.leases.counted()
        candidates = []
        for name, record in sorted(self.targets_by_id.items()):
            allowed = share(record.limit.current, counted, self.published)
            if record.serving and record.running < allowed:
                reported = record.report
                candidates.append(
                    Candidate(
                        name,
                        record.running,
                        allowed,
                        record.limit.pace(record.running + 1),
                        record.backlog,
                        reported.running + reported.waiting if reported else 0,
                    )
                )
        preferred = [c for c in candidates if c.target not in demand.avoid]
        return preferred or candidates

    def _grant(self, waiting, candidate):
        record = self.targets_by_id[candidate.target]
        now = self.clock()
        demand = waiting.demand
        run = Running(
            waiting.entry,
            demand,
            record.name,
            next(self._permit_ids),
            now,
            now + record.run_limit,
        )
        self._start(record, run)
        self._send(
            waiting.entry,
            Grant(
                demand.request_id,
                self.pool,
                run.permit_id,
                self.term,
                record.name,
                self.heard_by_entry.get(waiting.entry, 0.0),
                record.limit.state,
            ),
        )

    def _expire(self):
        now = self.clock()
        for waiting in [w for w in self._all_waiting() if w.deadline <= now]:
            self._shed(waiting)
        for record in self.targets_by_id.values():
            for run in [r for r in record.lost() if r.release_by <= now]:
                self._forget(record, run)

    def _all_waiting(self):
        return itertools.chain(self.queue, *self.parked_by_entry.values())

    def _unpark(self, request_id):
        for waiting_list in self.parked_by_entry.values():
            for waiting in waiting_list:
                if waiting.demand.request_id == request_id:
                    waiting_list.remove(waiting)
                    return waiting
        return None

    def _shed(self, waiting):
        self.queue.remove(waiting.demand.request_id)
        self._unpark(waiting.demand.request_id)
        self._release_budget(waiting.demand, ran=False)
        self._refuse(
            waiting.entry,
            waiting.demand,
            RefusalReason.OVERLOADED,
            self.delay.retry_after(self.queue, waiting, self.targets_by_id.values()),
        )

    # Helpers

    def _queued_ids(self):
        return {waiting.demand.request_id for waiting in self._all_waiting()}

    def _start(self, record, run):
        self.running_by_request[run.demand.request_id] = run
        record.running_by_request[run.demand.request_id] = run

    def _forget(self, record, run):
        request_id = run.demand.request_id
        record.running_by_request.pop(request_id, None)
        if self.running_by_request.pop(request_id, None) is not None:
            self._release_budget(run.demand, ran=True)

    def _release_budget(self, demand, ran):
        self.budgets.settle(demand.workspace, demand.tokens, demand.tokens, ran)

    def _allowance(self, workspace):
        if workspace not in self.declarations.workspaces:
            return None
        return self.declarations.allowance(workspace, self.pool)

    def _queue_length(self):
        return self.declarations.services[self.pool].queue_length

    def _refuse(self, entry, demand, reason, retry_after):
        self._send(entry, Refusal(demand.request_id, reason, retry_after))

    def _send(self, entry, message):
        self._outbox.append(Addressed(entry, message))

    def snapshot(self):
        """Return the whole state as plain values for the dump."""
        return {
            "pool": self.pool,
            "term": self.term,
            "published": self.published,
            "counted": self.leases.counted(),
            "entries": sorted(self.leases.by_entry),
            "waiting": len(self.queue),
            "targets": {
                name: {
                    "serving": record.serving,
                    "limit": round(record.limit.limit, 2),
                    "running": record.running,
                    "lost": len(record.lost()),
                    "epoch": record.limit.epoch,
                }
                for name, record in sorted(self.targets_by_id.items())
            },
            "accounts": {
                name: {"accepted": account.accepted}
                for name, account in sorted(self.budgets.by_workspace.items())
            },
        }
