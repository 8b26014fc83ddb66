"""Make the scheduling decisions for a pool.

The coordinator is a plain class that starts no tasks: the peers' tasks call it from
a single thread and send the messages that it returns. The clock and the random
number generator are arguments.
"""

from ..messages import Completion, Demand, Refusal, RefusalReason, Result
from .granting import Granter
from .pool import AddressedMessage, Policies, Pool
from .queues import WaitingDemand
from .shedding import Shedder, preemption_time
from .suspects import Suspicion
from .takeover import Takeover
from .targets import TargetRecord, TimedReport

__all__ = ["AddressedMessage", "Coordinator", "Policies"]

NO_TARGET_RETRY_AFTER_SECONDS = 2.0


class Coordinator(Pool):
    """Grants permits for the targets of one pool."""

    def __init__(self, pool, term, clock, rng, policies=None):
        super().__init__(pool, term, clock, rng, policies)
        self.granter = Granter(self)
        self.shedder = Shedder(self)
        self.takeover = Takeover(self)

    # Declarations and membership

    def configure(self, declarations):
        """Apply a newer version of the declared document."""
        self.declarations = declarations
        declared = declarations.targets_of(self.pool)
        service = declarations.services.get(self.pool)
        for name, target in sorted(declared.items()):
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
                record.limit.suspend()
                record.limit_lowered = True
        for name in self.targets_by_id.keys() - declared.keys():
            self.targets_by_id[name].serving = False

    def set_published(self, count):
        """Set the number of instances on the list that the platform publishes."""
        self.published = max(1, count)

    def join(self, entry, join):
        """Register an entry and take over the permits that it has in progress."""
        self.takeover.join(entry, join)

    def leave(self, entry):
        """Remove an entry; its permits in progress stay counted as lost."""
        self.takeover.leave(entry)
        for record in self.targets_by_id.values():
            record.completed_at_by_entry.pop(entry, None)

    def is_joined(self, entry):
        """Return whether an entry has joined, even if its lease has expired."""
        return entry in self.leases.by_entry

    def renew(self, entry, acked_ping_sent_at, heard_at):
        """Extend an entry's lease after it has acknowledged a heartbeat.

        Parameters
        ----------
        entry : str
            Entry id.
        acked_ping_sent_at : float
            Reading of this clock when the acknowledged heartbeat was sent, seconds.
        heard_at : float
            Latest known reading of the entry's own clock, seconds.
        """
        self.leases.renew(entry, acked_ping_sent_at, heard_at)
        if self.leases.is_live(entry):
            self.waiting_demands.unpark(entry)

    # Requests

    def submit(self, entry, demand: Demand):
        """Queue a demand, or refuse it immediately.

        A demand that is already waiting or running is ignored.
        """
        if demand.request_id in self.running_by_request:
            return
        if demand.request_id in self.waiting_demands:
            return
        refusal = self._refusal(demand)
        if refusal is not None:
            self.send(entry, refusal)
            return
        now = self.clock()
        waiting = WaitingDemand(entry, demand, now, now + demand.max_wait)
        targets = self.targets_by_id.values()
        late = self.delay.estimate(self.queue, waiting, targets) > demand.max_wait
        if late and not self.shedder.preempt_lower_tier(demand):
            self.shedder.shed(waiting)
            return
        self.waiting_demands.add(waiting, preemption_time(waiting))
        excess = (
            len(self.waiting_demands)
            - self.queue_length()
            - len(self.preemptor_by_request)
        )
        victim = self.queue.victim() if excess > 0 else None
        if victim is not None and not self.shedder.preempt_lower_tier(victim.demand):
            self.shedder.shed(victim)

    def _refusal(self, demand):
        allowance = self.allowance(demand.workspace)
        if allowance is None:
            return Refusal(demand.request_id, RefusalReason.PLAN_LIMIT, 0.0)
        if self.suspects.suspicion(demand.fingerprint) is Suspicion.BARRED:
            wait = self.suspects.retry_after(demand.fingerprint)
            return Refusal(demand.request_id, RefusalReason.SUSPECT, wait)
        if not any(record.serving for record in self.targets_by_id.values()):
            return Refusal(
                demand.request_id,
                RefusalReason.NO_TARGET,
                NO_TARGET_RETRY_AFTER_SECONDS,
            )
        wait = self.budgets.admit(
            demand.workspace, allowance, demand.tokens, self.budget_fraction
        )
        if wait is not None:
            return Refusal(demand.request_id, RefusalReason.PLAN_LIMIT, wait)
        return None

    def withdraw(self, entry, withdrawal):
        """Remove a waiting demand whose caller has disconnected."""
        waiting = self.waiting_demands.by_request.get(withdrawal.request_id)
        if waiting is not None:
            self.drop(waiting)

    def finish(self, entry, completion: Completion):
        """End a permit and update the estimates with the result of its run."""
        run = self.running_by_request.get(completion.request_id)
        if run is None:
            return
        record = self.targets_by_id[run.target]
        running = record.running
        self.end(record, run)
        ran = completion.result not in (Result.UNUSED, Result.REFUSED)
        used = completion.input_tokens + completion.output_tokens
        self.budgets.settle(run.demand.workspace, run.demand.tokens, used, ran)
        self._update_suspicion(record, run, completion)
        now = self.clock()
        if completion.result is Result.COMPLETED:
            record.completed_at_by_entry[run.entry] = now
        elif completion.result is Result.REFUSED and record.answers_another(
            run.entry, now
        ):
            return
        before = record.limit.limit
        record.limit.record_result(completion.result)
        record.limit.complete(completion, running)
        record.limit_lowered |= record.limit.limit < before
        self.delay.complete(record, run.demand, completion)
        self.choice.complete(run.target, run.demand, completion)

    def _update_suspicion(self, record, run, completion):
        fingerprint = run.demand.fingerprint
        alone = record.solo_request_id == run.demand.request_id
        if completion.result is Result.BROKEN:
            # A broken solo run counts as a second target, so that a suspect is also
            # barred when the pool has only one.
            broken_targets = [run.target] + [f"{run.target}/alone"] * alone
            self.suspects.blame(fingerprint, broken_targets)
        elif completion.result is Result.COMPLETED and not completion.unframed:
            self.suspects.clear(fingerprint)
        self.solo.remove(run.demand.request_id)

    def observe(self, report):
        """Process a load report that the target itself made."""
        record = self.targets_by_id.get(report.target)
        if record is None:
            return
        record.report = report
        if record.limit.observe_epoch(report.epoch):
            record.limit_lowered = True
            self.choice.forget(report.target)
            for run in list(record.lost_by_request.values()):
                self.forget(record, run)
        now = self.clock()
        timed = TimedReport(report, now - report.age, now, self.published)
        for run in record.observe(timed, self.leases):
            self.forget(record, run)

    # Decisions

    def decide(self):
        """Handle expired timers, grant permits and return the messages to send.

        Returns
        -------
        list of AddressedMessage
            Grants, refusals and preemptions, each with the entry that it goes to.
        """
        self._expire()
        if len(self.waiting_demands):
            self.granter.grant_waiting()
        outbox, self.outbox = self.outbox, []
        return outbox

    def _expire(self):
        now = self.clock()
        for waiting in self.waiting_demands.due(now):
            if waiting.deadline <= now:
                self.shedder.expire(waiting)
            else:
                self.shedder.preempt_lower_tier(waiting.demand)
        for record in self.targets_by_id.values():
            if record.foreign_permits.bound is None:
                record.foreign_permits.assume_none(now, self.leases, self.published)
            if record.lost_by_request:
                self._release_overdue(record, now)

    def _release_overdue(self, record, now):
        for run in record.overdue(now):
            self.forget(record, run)
