"""State that an instance keeps for the coordinator of one pool."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field

from . import messages as m
from .spends import SpendLedger


@dataclass
class Permit:
    """A grant that this instance holds.

    Parameters
    ----------
    granted_at : float
        Clock reading at which the grant was received.
    preempted : Preemption or None
        The order to cancel the run, once one has been received.
    cancel : callable or None
        Cancels the run; None while there is none in progress.
    """

    demand: m.Demand
    grant: m.Grant
    granted_at: float
    preempted: m.Preemption | None = None
    cancel: Callable[[], None] | None = None


@dataclass
class PoolClient:
    """State that this instance keeps for the coordinator of one pool.

    Parameters
    ----------
    spends : SpendLedger
        Recent usage of workspaces, reported to the next coordinator.
    coordinator : str
        Id of the coordinating instance in use; empty if there is none.
    joined : bool
        Whether a join has been sent to it.
    left_at : float or None
        Latest clock reading at which a heartbeat may have renewed the lease at a
        former coordinator; None if there was none.
    pending_by_request : dict
        Demands without an answer, each with the future of its `Permit`.
    states_by_target : dict
        Latest target states received, passed on to the next coordinator.
    suspects : tuple of CarriedSuspect
        Latest suspects received, passed on to the next coordinator.
    """

    pool: str
    spends: SpendLedger
    coordinator: str = ""
    joined: bool = False
    left_at: float | None = None
    pending_by_request: dict[str, tuple[m.Demand, Future]] = field(default_factory=dict)
    permits_by_request: dict[str, Permit] = field(default_factory=dict)
    states_by_target: dict[str, m.TargetState] = field(default_factory=dict)
    suspects: tuple[m.CarriedSuspect, ...] = ()

    def is_from_coordinator(self, grant):
        """Tell whether a grant comes from the coordinator in use.

        A grant of a former coordinator may arrive late, when this instance already
        counts towards the share of another one.
        """
        return grant.term.partition("/")[0] == self.coordinator

    def settle(self, demand, completion):
        """Replace the estimated usage of a permit by the actual usage of its run."""
        if completion.result in (m.Result.UNUSED, m.Result.REFUSED):
            self.spends.add(demand.workspace, -demand.tokens, -1)
            return
        used = completion.input_tokens + completion.output_tokens
        self.spends.add(demand.workspace, used - demand.tokens, 0)
