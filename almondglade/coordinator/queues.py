"""Order in which waiting demands are served: the base of the policies."""

import abc
from dataclasses import dataclass
from typing import ClassVar

from ..messages import Demand
from ..plugins import Plugin


@dataclass(frozen=True)
class WaitingDemand:
    """A demand in the queue.

    Parameters
    ----------
    deadline : float
        Clock reading at which it is refused.
    """

    entry: str
    demand: Demand
    arrived: float
    deadline: float


class QueueOrder(Plugin, abc.ABC):
    """A queue of waiting demands."""

    registry: ClassVar[dict[str, type]] = {}

    @abc.abstractmethod
    def push(self, waiting):
        """Add a demand."""

    @abc.abstractmethod
    def peek(self):
        """Return the demand to serve next, or None."""

    @abc.abstractmethod
    def pop(self):
        """Remove and return the demand that `peek` returns."""

    @abc.abstractmethod
    def remove(self, request_id):
        """Remove and return one demand, or None if it is not waiting."""

    @abc.abstractmethod
    def victim(self):
        """Return the demand to shed first, or None."""

    @abc.abstractmethod
    def __iter__(self):
        """Iterate over all waiting demands in no set order."""

    @abc.abstractmethod
    def __len__(self):
        """Return the number of waiting demands."""
