"""Recent usage of workspaces through one entry, reported when it joins.

A new coordinator thereby knows how much of their plans they have recently used.
"""

import math
from dataclasses import dataclass

from .messages import CarriedSpend

# Time constant of the exponential decay of usage. It is at least the burst of a
# plan, so that the reported usage is never less than what the plan's token bucket
# has not yet refilled.
DECAY_SECONDS = 30.0
MAX_CARRIED_WORKSPACES = 256
MIN_CARRIED_TOKENS = 1.0
MIN_CARRIED_REQUESTS = 0.05


@dataclass
class Spend:
    """Exponentially decaying usage of one workspace.

    Parameters
    ----------
    updated_at : float
        Clock reading of the latest decay.
    """

    tokens: float = 0.0
    requests: float = 0.0
    updated_at: float = 0.0


class SpendLedger:
    """Recent usage by workspace.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_workspace: dict[str, Spend] = {}

    def add(self, workspace, tokens, requests):
        """Add usage; negative numbers take some back."""
        spend = self._decayed(workspace)
        spend.tokens = max(0.0, spend.tokens + tokens)
        spend.requests = max(0.0, spend.requests + requests)

    def carried(self):
        """Return the highest usages, and remove those that have decayed to almost 0."""
        for workspace in list(self.by_workspace):
            spend = self._decayed(workspace)
            if (
                spend.tokens < MIN_CARRIED_TOKENS
                and spend.requests < MIN_CARRIED_REQUESTS
            ):
                del self.by_workspace[workspace]
        largest = sorted(
            self.by_workspace.items(),
            key=lambda item: (item[1].tokens, item[1].requests),
            reverse=True,
        )
        return tuple(
            CarriedSpend(workspace, spend.tokens, spend.requests)
            for workspace, spend in largest[:MAX_CARRIED_WORKSPACES]
        )

    def _decayed(self, workspace):
        now = self.clock()
        spend = self.by_workspace.setdefault(workspace, Spend(updated_at=now))
        factor = math.exp(-(now - spend.updated_at) / DECAY_SECONDS)
        spend.tokens *= factor
        spend.requests *= factor
        spend.updated_at = now
        return spend
