"""Keep brittle targets from refusing requests for want of room.

Load pattern: targets have a shorter queue than usual, or none, and end when they must
refuse too many requests in a second. An instance that counts their requests wrongly, as
after a kill or in a partition, sends them more than they have room for.
"""

import math
from dataclasses import dataclass

from .ratelimits import PARTITION_OVERAGE, NamedLimit

# Time for which a brittle target that has refused a request gets no other one, so that
# all instances hear of the refusal before the next.
REFUSAL_PAUSE_SECONDS = 0.3
# Requests at a time that it gets again, for each second without a refusal.
RECOVERY_PER_SECOND = 0.5


@dataclass
class TargetRoom(NamedLimit):
    """The room of a target that is brittle at times.

    Its value is the number of refusals in a second that it bears; infinite while it is
    not brittle.

    Attributes
    ----------
    refused_at : float
        Monotonic time of its last refusal for want of room.
    room_then : float
        Requests that it may have had room for at that time.
    """

    refused_at: float = -math.inf
    room_then: float = math.inf

    def record_refusal(self, running, at, now):
        """Record a refusal for want of room.

        Refusals within the pause after another one are of requests that were already on
        their way.

        Parameters
        ----------
        running : int
            Requests that run on the target as far as is known, with the refused one.
        at : float
            Monotonic time of the refusal.
        """
        if at > self.refused_at + REFUSAL_PAUSE_SECONDS:
            self.room_then = max(1.0, min(running, self._room(now)) - 1.0)
            self.refused_at = at

    def limit(self, slots, reachable_share, now):
        """Return the number of requests that it may run at a time.

        Parameters
        ----------
        slots : int
            Its slots.
        reachable_share : float
            Share of the fleet's instances that are on this side of a partition; the
            other sides send it requests, too.
        """
        if not self.is_limited:
            return slots
        if now - self.refused_at < REFUSAL_PAUSE_SECONDS:
            return 0
        share = min(1.0, PARTITION_OVERAGE * reachable_share)
        return max(1, math.floor(min(slots * share, self._room(now))))

    def _room(self, now):
        return self.room_then + RECOVERY_PER_SECOND * (now - self.refused_at)
