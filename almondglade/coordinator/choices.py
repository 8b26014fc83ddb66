"""Base class of the policies that choose a target for a demand."""

import abc
from dataclasses import dataclass
from typing import ClassVar

from ..plugins import Plugin


@dataclass(frozen=True)
class Candidate:
    """A target that may be granted one more request now.

    Parameters
    ----------
    target : str
        Target id.
    running : int
        Requests that the coordinator counts as in progress at the target.
    allowed : int
        Requests that the coordinator may have in progress at the target.
    pace : float
        Expected seconds per token with one more request in progress; 0 if unknown.
    backlog : int
        Estimated tokens of the requests in progress.
    reported : int
        Requests running and waiting according to the target's own latest report,
        which may be out of date; 0 without a report.
    """

    target: str
    running: int
    allowed: int
    pace: float = 0.0
    backlog: int = 0
    reported: int = 0


class TargetChoice(Plugin, abc.ABC):
    """Policy that chooses among the targets that can run a demand.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator
        Random number generator.
    """

    registry: ClassVar[dict[str, type]] = {}

    def __init__(self, clock, rng):
        self.clock = clock
        self.rng = rng

    @abc.abstractmethod
    def choose(self, demand, candidates):
        """Return one of the candidates.

        Parameters
        ----------
        demand : Demand
            The demand to run.
        candidates : list of Candidate
            Never empty; sorted by target id.
        """

    def complete(self, target, demand, completion):  # noqa: B027
        """Update the policy with the result of a run; does nothing by default."""

    def forget(self, target):  # noqa: B027
        """Discard what was learnt about a target that restarted or was removed."""
