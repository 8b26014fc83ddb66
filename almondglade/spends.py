"""What workspaces drew lately through one entry, to carry to a coordinator."""

import math
from dataclasses import dataclass

from .messages import CarriedSpend

# A draw fades with this time constant. It is at least the burst of a plan, so
# that what is carried is never less than what the plan has not yet made good.
FADE_SECONDS = 30.0
MAX_CARRIED = 256
MIN_CARRIED_TOKENS = 1.0
MIN_CARRIED_REQUESTS = 0.05


@dataclass
class Spend:
    """A fading draw."""

    tokens: float = 0.0
    requests: float = 0.0
    updated: float = 0.0


class SpendLedger:
    """Recent draws by workspace.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_workspace: dict[str, Spend] = {}

    def add(self, workspace, tokens, requests):
        """Count a draw; negative numbers take one back."""
        spend = self._faded(workspace)
        spend.tokens = max(0.0, spend.tokens + tokens)
        spend.requests = max(0.0, spend.requests + requests)

    def carried(self):
        """Return the largest draws, and forget those that have faded."""
        for workspace in list(self.by_workspace):
            spend = self._faded(workspace)
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
            for workspace, spend in largest[:MAX_CARRIED]
        )

    def _faded(self, workspace):
        now = self.clock()
        spend = self.by_workspace.setdefault(workspace, Spend(updated=now))
        left = math.exp(-(now - spend.updated) / FADE_SECONDS)
        spend.tokens *= left
        spend.requests *= left
        spend.updated = now
        return spend
