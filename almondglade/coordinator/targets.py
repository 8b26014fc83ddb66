"""Permits and load reports of one target, as known to a coordinator."""

from dataclasses import dataclass, field, replace

from ..messages import Demand, LoadReport
from .foreign import ForeignPermitBound, ForeignPermitTracker
from .limits import LimitPolicy

# A granted request has reached its target within this time, or never will: the
# validity of a permit plus the time to connect and to send the request.
MAX_DISPATCH_DELAY_SECONDS = 2.5
# A target that has completed a run of another entry within this time accepts
# connections, so that one which is refused has lost its own link.
ANSWER_VALIDITY_SECONDS = 1.0


@dataclass
class Run:
    """A permit in progress.

    Parameters
    ----------
    entry : str
        Id of the entry that holds the permit, or held it until it was lost.
    release_by : float
        Clock reading after which a lost permit is no longer counted, seconds.
    lost_at : float or None
        Clock reading when the entry disconnected or rejoined without the permit,
        seconds; None while the entry holds it.
    preempted : bool
        Whether the entry was told to cancel the run for a higher tier.
    """

    entry: str
    demand: Demand
    target: str
    permit_id: int
    granted_at: float
    release_by: float
    lost_at: float | None = None
    preempted: bool = False


@dataclass(frozen=True)
class TimedReport:
    """A load report with the readings of this clock when it was taken and received.

    Parameters
    ----------
    taken_at : float
        Time of receipt less the known age of the report, seconds.
    received_at : float
        Time of receipt, seconds.
    published : int
        Instances on the platform's list at that time.
    """

    report: LoadReport
    taken_at: float
    received_at: float
    published: int

    @property
    def total(self):
        """Requests running or waiting at the target, from all instances."""
        return self.report.running + self.report.waiting


@dataclass
class TargetRecord:
    """A target with its limit and the permits counted against it.

    Parameters
    ----------
    name : str
        Target id.
    run_limit : float
        Seconds after which a run is ended.
    running_by_request : dict of str to Run
        Permits counted as in progress, including lost ones.
    lost_by_request : dict of str to Run
        Lost permits: their entry has disconnected or rejoined without them.
    backlog : int
        Estimated tokens of the permits in progress.
    serving : bool
        Whether the target accepts new work.
    solo_request_id : str
        Suspect request for which the target is reserved; empty if none.
    limit_lowered : bool
        Whether the limit was lowered here; a limit handed over by a former
        coordinator is then not adopted.
    completed_at_by_entry : dict of str to float
        Clock reading when the latest run of each entry completed.
    """

    name: str
    limit: LimitPolicy
    run_limit: float
    running_by_request: dict[str, Run] = field(default_factory=dict)
    lost_by_request: dict[str, Run] = field(default_factory=dict)
    backlog: int = 0
    report: LoadReport | None = None
    serving: bool = True
    foreign_permits: ForeignPermitTracker = field(default_factory=ForeignPermitTracker)
    solo_request_id: str = ""
    limit_lowered: bool = False
    completed_at_by_entry: dict[str, float] = field(default_factory=dict)
    _previous: TimedReport | None = None

    @property
    def running(self):
        """Number of permits counted as in progress, including lost ones."""
        return len(self.running_by_request)

    @property
    def state(self):
        """What the next coordinator needs to continue from the present state."""
        return replace(self.limit.state, running=self.running)

    def answers_another(self, entry, now):
        """Return whether the target has recently answered other entries than one."""
        return any(
            now - completed_at <= ANSWER_VALIDITY_SECONDS
            for name, completed_at in self.completed_at_by_entry.items()
            if name != entry
        )

    def start(self, run):
        """Count a permit as in progress."""
        self.running_by_request[run.demand.request_id] = run
        self.backlog += run.demand.tokens

    def end(self, request_id):
        """Stop counting a permit and return it, or None if it is unknown."""
        self.lost_by_request.pop(request_id, None)
        run = self.running_by_request.pop(request_id, None)
        if run is not None:
            self.backlog -= run.demand.tokens
        return run

    def mark_lost(self, run, now):
        """Keep counting a permit without an entry for up to the run limit."""
        run.lost_at = now
        run.release_by = now + self.run_limit
        self.lost_by_request[run.demand.request_id] = run

    def reassign(self, run, entry):
        """Assign a permit to the entry that holds it; it is no longer lost."""
        run.entry, run.lost_at = entry, None
        self.lost_by_request.pop(run.demand.request_id, None)

    def overdue(self, now):
        """Return the lost permits whose run limit has passed."""
        return [r for r in self.lost_by_request.values() if r.release_by <= now]

    def observe(self, timed, leases):
        """Process a load report and return the lost permits that have ended.

        The new report bounds the foreign permits by its total. Own permits are
        subtracted from the total of the report before it. By now the entries have
        acknowledged a heartbeat sent after that report was received, so their runs that
        still count were in progress when it was taken.

        Parameters
        ----------
        timed : TimedReport
            The new report.
        leases : LeaseTable
            Leases of this coordinator's entries.

        Returns
        -------
        list of Run
            The oldest lost permits, as many as exceed the previous report's total.
        """
        limit = self.limit.current
        self.foreign_permits.observe(
            ForeignPermitBound(timed.taken_at, timed.published, timed.total),
            limit,
            leases,
            False,
        )
        earlier, self._previous = self._previous, timed
        if earlier is None or earlier.report.epoch != timed.report.epoch:
            return []
        own_in_report = sum(
            self._is_in_report(run, earlier, leases) for run in self.held()
        )
        foreign = max(0, earlier.total - own_in_report)
        self.foreign_permits.observe(
            ForeignPermitBound(earlier.taken_at, earlier.published, foreign),
            limit,
            leases,
            True,
        )
        # Only permits whose request has reached the target, if it was sent at all.
        lost = [
            run
            for run in self.lost_by_request.values()
            if run.lost_at is not None
            and run.lost_at + MAX_DISPATCH_DELAY_SECONDS < earlier.taken_at
        ]
        ended = own_in_report + len(lost) - earlier.total
        return sorted(lost, key=lambda run: run.granted_at)[: max(0, ended)]

    def held(self):
        """Return the permits that are not lost."""
        return [r for r in self.running_by_request.values() if r.lost_at is None]

    @staticmethod
    def _is_in_report(run, timed, leases):
        """Return whether a run that still counts was certainly in a report's total."""
        started = run.granted_at + MAX_DISPATCH_DELAY_SECONDS <= timed.taken_at
        return started and leases.acked_ping_sent_at(run.entry) >= timed.received_at
