"""What an instance has open with the coordinator of one pool."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field

from . import messages as m
from .spends import SpendLedger


@dataclass
class Permit:
    """A grant held by this instance, and how to cancel its run."""

    demand: m.Demand
    grant: m.Grant
    granted_at: float
    preempted: m.Preemption | None = None
    cancel: Callable[[], None] | None = None


@dataclass
class PoolClient:
    """What this instance has open with the coordinator of one pool.

    Parameters
    ----------
    coordinator : str
        Instance in use; empty when none is.
    left_at : float
        Last time a heartbeat may have renewed the lease at a former one.
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

        One of a former coordinator may arrive late, when this instance counts
        towards another's share.
        """
        return grant.term.partition("/")[0] == self.coordinator

    def settle(self, demand, completion):
        """Replace the estimated draw of a permit by what its run used."""
        if completion.result in (m.Result.UNUSED, m.Result.REFUSED):
            self.spends.add(demand.workspace, -demand.tokens, -1)
            return
        used = completion.input_tokens + completion.output_tokens
        self.spends.add(demand.workspace, used - demand.tokens, 0)
