"""A coordinator's view of one target."""

from dataclasses import dataclass, field

from ..messages import Demand, LoadReport
from .limits import LimitPolicy


@dataclass
class Running:
    """A permit in progress.

    Parameters
    ----------
    entry : str
        Who holds it; empty when its entry was lost.
    release_by : float
        Clock reading after which a lost permit is no longer counted.
    """

    entry: str
    demand: Demand
    target: str
    permit_id: int
    granted: float
    release_by: float
    lost_at: float | None = None
    preempted: bool = False


@dataclass
class TargetRecord:
    """A target with its limit and the permits counted against it."""

    name: str
    limit: LimitPolicy
    run_limit: float
    running_by_request: dict[str, Running] = field(default_factory=dict)
    report: LoadReport | None = None
    serving: bool = True

    @property
    def running(self):
        """Requests counted as in progress."""
        return len(self.running_by_request)

    @property
    def backlog(self):
        """Tokens of the requests counted as in progress."""
        return sum(run.demand.tokens for run in self.running_by_request.values())

    def lost(self):
        """Return the permits whose entry was lost, oldest first."""
        return sorted(
            (
                run
                for run in self.running_by_request.values()
                if run.lost_at is not None
            ),
            key=lambda run: run.granted,
        )
