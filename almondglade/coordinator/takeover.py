"""Take over the state that joining entries bring; release leaving entries."""

from .targets import Run


class Takeover:
    """Takes over permits, limits, suspects and usage from other coordinators.

    Parameters
    ----------
    pool : Pool
        State of the pool.
    """

    def __init__(self, pool):
        self.pool = pool

    def join(self, entry, join):
        """Register an entry and take over the state that its Join carries."""
        self.pool.leases.add(entry, join.counted_after)
        for state in join.targets:
            record = self.pool.targets_by_id.get(state.target)
            if record is None:
                continue
            record.foreign_permits.record_handover(state.running)
            if not record.limit_lowered:
                record.limit.adopt(state)
        self.pool.suspects.adopt(join.suspects)
        # Permits that the Join does not carry may have ended while the link was
        # broken, so that their completion was never received.
        self._mark_permits_lost(entry)
        for carried in join.permits:
            self._take_over_permit(entry, carried)
        for spend in join.spends:
            if (allowance := self.pool.allowance(spend.workspace)) is not None:
                self.pool.budgets.charge(
                    spend.workspace,
                    allowance,
                    self.pool.budget_fraction,
                    spend.tokens,
                    spend.requests,
                )

    def _take_over_permit(self, entry, carried):
        demand = carried.demand
        record = self.pool.targets_by_id.get(carried.target)
        if record is None:
            return
        known = self.pool.running_by_request.get(demand.request_id)
        if known is not None:
            record.reassign(known, entry)
            return
        record.foreign_permits.carried_permits += 1
        now = self.pool.clock()
        self.pool.start(
            record,
            Run(
                entry,
                demand,
                carried.target,
                next(self.pool.permit_ids),
                now - carried.age,
                now + record.run_limit,
            ),
        )
        if (allowance := self.pool.allowance(demand.workspace)) is not None:
            self.pool.budgets.count_admitted(
                demand.workspace, allowance, self.pool.budget_fraction
            )

    def leave(self, entry):
        """Remove an entry and its waiting demands.

        Its permits in progress stay counted as lost, since they still use the targets.
        """
        self.pool.leases.drop(entry)
        for waiting in self.pool.waiting_demands.of_entry(entry):
            self.pool.drop(waiting)
        self._mark_permits_lost(entry)

    def _mark_permits_lost(self, entry):
        now = self.pool.clock()
        for run in self.pool.running_by_request.values():
            if run.entry == entry and run.lost_at is None:
                self.pool.targets_by_id[run.target].mark_lost(run, now)
