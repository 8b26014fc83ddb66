"""Decide which request bodies get memory, so that many large ones cannot exhaust it.

Answers a load in which many callers at once send bodies that are each within the limit
but together exceed the memory of the process.
"""

import enum
from collections import deque
from dataclasses import dataclass

# Share of the process's memory for large bodies. The rest is for the interpreter, the
# state of the fleet, and the threads, buffers and small bodies of all requests.
BODY_MEMORY_SHARE = 0.2


class Admission(enum.Enum):
    """What became of a request for room."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


@dataclass(eq=False)
class BodyClaim:
    """The room of one body, in bytes.

    Parameters
    ----------
    held : int
        Bytes that it has got.
    wanted : int
        Further bytes that it waits for.
    """

    held: int = 0
    wanted: int = 0


class BodyBudget:
    """Shares a number of bytes among the bodies that are read or kept.

    Room is granted in the order of asking. A body that holds room already goes first,
    as the others wait for its end. One that is larger than the whole budget gets room
    when no other holds any.

    Parameters
    ----------
    capacity : int
        Bytes that bodies may take together.

    Attributes
    ----------
    held : int
        Bytes that bodies have got.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.held = 0
        self._waiting: deque[BodyClaim] = deque()

    @property
    def wanted(self):
        """Bytes that bodies wait for."""
        return sum(claim.wanted for claim in self._waiting)

    def ask(self, claim, size):
        """Ask for more room for a body.

        Parameters
        ----------
        claim : BodyClaim
            Claim that does not wait.
        size : int
            Further bytes.

        Returns
        -------
        Admission
            Refused if more bytes are waited for than could be granted together.
        """
        if (claim.held or not self._waiting) and self._fits(claim, size):
            self._grant(claim, size)
            return Admission.GRANTED
        if self._waiting and self.wanted + size > self.capacity:
            return Admission.REFUSED
        claim.wanted = size
        if claim.held:
            self._waiting.appendleft(claim)
        else:
            self._waiting.append(claim)
        return Admission.WAITING

    def withdraw(self, claim):
        """Stop waiting for room.

        Returns
        -------
        list of BodyClaim
            Claims that got room by this.
        """
        if claim.wanted:
            self._waiting.remove(claim)
            claim.wanted = 0
        return self._grant_waiting()

    def shrink(self, claim, size):
        """Give back the room of a body beyond a size in bytes.

        Returns
        -------
        list of BodyClaim
            Claims that got room by this.
        """
        self.held -= claim.held - size
        claim.held = size
        return self._grant_waiting()

    def _fits(self, claim, size):
        return self.held + size <= self.capacity or self.held == claim.held

    def _grant(self, claim, size):
        self.held += size
        claim.held += size
        claim.wanted = 0

    def _grant_waiting(self):
        granted = []
        while self._waiting and self._fits(self._waiting[0], self._waiting[0].wanted):
            claim = self._waiting.popleft()
            self._grant(claim, claim.wanted)
            granted.append(claim)
        return granted
