"""Base class of the policies that order waiting demands."""

import abc
from dataclasses import dataclass
from typing import ClassVar

from ..messages import Demand
from ..plugins import Plugin


@dataclass(frozen=True)
class WaitingDemand:
    """A demand that waits for a grant.

    Parameters
    ----------
    entry : str
        Id of the entry that sent the demand.
    arrived_at : float
        Clock reading when the demand arrived, seconds.
    deadline : float
        Clock reading at which the demand is refused, seconds.
    """

    entry: str
    demand: Demand
    arrived_at: float
    deadline: float


class QueueOrder(Plugin, abc.ABC):
    """A queue of waiting demands, ordered by a policy."""

    registry: ClassVar[dict[str, type]] = {}

    @abc.abstractmethod
    def push(self, waiting):
        """Add a demand."""

    @abc.abstractmethod
    def peek(self):
        """Return the demand to grant next, or None if the queue is empty."""

    @abc.abstractmethod
    def pop(self):
        """Remove and return the demand that `peek` returns."""

    @abc.abstractmethod
    def remove(self, request_id):
        """Remove and return one demand, or None if it is not waiting."""

    @abc.abstractmethod
    def victim(self):
        """Return the demand to shed first, or None if the queue is empty."""

    @abc.abstractmethod
    def __iter__(self):
        """Iterate over all waiting demands in no particular order."""

    @abc.abstractmethod
    def __len__(self):
        """Return the number of waiting demands."""
