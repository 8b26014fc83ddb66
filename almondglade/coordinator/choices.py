"""Choice of a target for a demand: the base of the policies."""

import abc
from dataclasses import dataclass
from typing import ClassVar

from ..plugins import Plugin


@dataclass(frozen=True)
class Candidate:
    """A target that may take one more request now.

    Parameters
    ----------
    running : int
        Requests that the coordinator counts as in progress.
    allowed : int
        Requests that it may have in progress there.
    pace : float
        Expected seconds per token with one more request in progress; 0 if unknown.
    backlog : int
        Tokens of the requests in progress.
    reported : int
        Requests by the target's own, possibly old, report.
    """

    target: str
    running: int
    allowed: int
    pace: float = 0.0
    backlog: int = 0
    reported: int = 0


class TargetChoice(Plugin, abc.ABC):
    """Chooses among targets.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator
        Source of random numbers.
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
            What is to run.
        candidates : list of Candidate
            Never empty; sorted by target id.
        """

    def complete(self, target, demand, completion):  # noqa: B027
        """Learn from a run that ended; does nothing by default."""

    def forget(self, target):  # noqa: B027
        """Drop what is known of a target that restarted or went away."""
