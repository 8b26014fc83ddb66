"""A coordinator's view of one target."""

from dataclasses import dataclass, field, replace

from ..messages import Demand, LoadReport
from .foreign import ForeignPermitBound, ForeignPermitTracker
from .limits import LimitPolicy

# A dispatch is certainly at its target this long after its grant, if at all:
# the validity of a permit, the time to connect and to write.
MAX_DISPATCH_DELAY_SECONDS = 2.5


@dataclass
class Run:
    """A permit in progress.

    Parameters
    ----------
    entry : str
        Who holds it, or held it when it was lost.
    release_by : float
        Clock reading after which a lost permit is no longer counted.
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
    """A load report and when it was taken and received, on this clock."""

    report: LoadReport
    taken_at: float
    received_at: float
    published: int

    @property
    def total(self):
        """Requests at the target, whoever sent them."""
        return self.report.running + self.report.waiting


@dataclass
class TargetRecord:
    """A target with its limit and the permits counted against it."""

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
    _previous: TimedReport | None = None

    @property
    def running(self):
        """Requests counted as in progress."""
        return len(self.running_by_request)

    @property
    def state(self):
        """What a later coordinator needs to go on from here."""
        return replace(self.limit.state, running=self.running)

    def start(self, run):
        """Count a permit."""
        self.running_by_request[run.demand.request_id] = run
        self.backlog += run.demand.tokens

    def end(self, request_id):
        """Stop counting a permit and return it, or None if it is not known."""
        self.lost_by_request.pop(request_id, None)
        run = self.running_by_request.pop(request_id, None)
        if run is not None:
            self.backlog -= run.demand.tokens
        return run

    def mark_lost(self, run, now):
        """Keep counting a permit whose entry has disconnected."""
        run.lost_at = now
        run.release_by = now + self.run_limit
        self.lost_by_request[run.demand.request_id] = run

    def reassign(self, run, entry):
        """Give a permit back to the entry that holds it."""
        run.entry, run.lost_at = entry, None
        self.lost_by_request.pop(run.demand.request_id, None)

    def overdue(self, now):
        """Return the lost permits whose run limit has passed."""
        return [r for r in self.lost_by_request.values() if r.release_by <= now]

    def observe(self, timed, leases):
        """Take in a load report and return the lost permits that it frees.

        The report before it is judged now: by this time all entries have
        answered a heartbeat sent after it came, so every run that still counts
        was in progress when it was taken.
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
        lost = [
            run
            for run in self.lost_by_request.values()
            if run.lost_at is not None
            and run.lost_at + MAX_DISPATCH_DELAY_SECONDS < earlier.taken_at
        ]
        ended = own_in_report + len(lost) - earlier.total
        return sorted(lost, key=lambda run: run.granted_at)[: max(0, ended)]

    def held(self):
        """Return the permits whose entry is not lost."""
        return [r for r in self.running_by_request.values() if r.lost_at is None]

    @staticmethod
    def _is_in_report(run, timed, leases):
        started = run.granted_at + MAX_DISPATCH_DELAY_SECONDS <= timed.taken_at
        return started and leases.acked_ping_sent_at(run.entry) >= timed.received_at
