"""Grant permits for targets to waiting demands."""

from ..messages import Grant
from .choices import Candidate
from .suspects import Suspicion
from .targets import Run


class Granter:
    """Grants permits in the order of the queue, as far as the limits allow.

    Parameters
    ----------
    pool : Pool
        State of the pool.
    """

    def __init__(self, pool):
        self.pool = pool

    def grant_waiting(self):
        """Grant permits until no target has capacity left."""
        allowed = self._allowed_by_target()
        self._grant_solo(allowed)
        while (waiting := self.pool.queue.peek()) is not None:
            if waiting.demand.tier > self.pool.admission_level.lowest_tier:
                break
            candidates = self._candidates(waiting.demand, allowed)
            if not candidates:
                break
            if not self.pool.leases.is_live(waiting.entry):
                # The grant might arrive after the entry has joined another
                # coordinator.
                self.pool.waiting_demands.park(waiting)
                continue
            self.pool.queue.pop()
            if self._suspicion(waiting.demand) is Suspicion.SOLO:
                self.pool.solo.add(waiting)
                self._grant_solo(allowed)
                continue
            chosen = self.pool.choice.choose(waiting.demand, candidates)
            self._grant(waiting, self.pool.targets_by_id[chosen.target])

    def _grant_solo(self, allowed):
        if not self.pool.solo.waiting_by_request:
            return
        records = [r for r in self.pool.targets_by_id.values() if r.serving]
        found = self.pool.solo.next(
            records, lambda demand: self.pool.suspects.targets(demand.fingerprint)
        )
        if found is None:
            return
        waiting, record = found
        if record.name in allowed and self.pool.leases.is_live(waiting.entry):
            del self.pool.solo.waiting_by_request[waiting.demand.request_id]
            self._grant(waiting, record)

    def _suspicion(self, demand):
        return self.pool.suspects.suspicion(demand.fingerprint)

    def _allowed_by_target(self):
        return {
            name: allowed
            for name, record in self.pool.targets_by_id.items()
            if record.serving
            and record.running < record.limit.current
            and (allowed := self.pool.allowed_permits(record)) > record.running
        }

    def _candidates(self, demand, allowed):
        candidates = [
            self._candidate(record, limit)
            for name, limit in allowed.items()
            if (record := self.pool.targets_by_id[name]).running < limit
            and not record.solo_request_id
        ]
        if not demand.avoid:
            return candidates
        preferred = [c for c in candidates if c.target not in demand.avoid]
        return preferred or candidates

    @staticmethod
    def _candidate(record, allowed):
        report = record.report
        return Candidate(
            record.name,
            record.running,
            allowed,
            record.limit.pace(record.running + 1),
            record.backlog,
            report.running + report.waiting if report else 0,
        )

    def _grant(self, waiting, record):
        demand = waiting.demand
        self.pool.waiting_demands.remove(demand.request_id)
        now = self.pool.clock()
        run = Run(
            waiting.entry,
            demand,
            record.name,
            next(self.pool.permit_ids),
            now,
            now + record.run_limit,
        )
        self.pool.start(record, run)
        heard_at = self.pool.leases.by_entry[waiting.entry].heard_at
        self.pool.send(
            waiting.entry,
            Grant(
                demand.request_id,
                self.pool.pool,
                run.permit_id,
                self.pool.term,
                record.name,
                heard_at,
                record.state,
            ),
        )
