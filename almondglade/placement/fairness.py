"""Order waiting requests by workspace without starving any route tier.

Load pattern: requests of one route tier with long responses arrive faster than they
finish. In the order of workspaces alone, the long responses of the first workspaces
would hold all slots and all other requests would be late. So each route tier has a
share of the slots, larger for the more urgent tiers. Requests of tiers within their
share go first; inside both groups the order is by workspace, then by route tier.
"""

from collections import Counter

# The share of a route tier, as a multiple of that of the next less urgent one.
WEIGHT_RATIO = 3.0


class FairOrder:
    """The order in which waiting requests of one service get slots.

    Parameters
    ----------
    count_running : callable
        Returns a Counter of the running requests by route tier; called only if
        there is more than one request to order.
    slots : int
        Requests that may run at once.
    """

    def __init__(self, count_running, slots):
        self.count_running = count_running
        self.slots = slots
        self.running_by_route_tier: Counter = Counter()

    def record_start(self, route_tier):
        """Count a request that got a slot."""
        self.running_by_route_tier[route_tier] += 1

    def sort(self, tickets):
        """Yield requests in the order in which they should get slots.

        The caller reports each slot that it assigns in between by `record_start`.

        Parameters
        ----------
        tickets : sequence of Ticket
        """
        if len(tickets) == 1:
            yield from tickets
            return
        self.running_by_route_tier = Counter(self.count_running())
        waiting_by_route_tier: dict[int, list] = {}
        for ticket in sorted(tickets, key=lambda entry: entry.rank, reverse=True):
            waiting_by_route_tier.setdefault(ticket.route_tier, []).append(ticket)
        while waiting_by_route_tier:
            route_tier = min(
                waiting_by_route_tier,
                key=lambda tier: (
                    self._is_over_share(tier, waiting_by_route_tier),
                    waiting_by_route_tier[tier][-1].rank,
                ),
            )
            waiting = waiting_by_route_tier[route_tier]
            yield waiting.pop()
            if not waiting:
                del waiting_by_route_tier[route_tier]

    def _is_over_share(self, route_tier, waiting_by_route_tier):
        # The unary plus drops tiers without running requests.
        present = sorted({*waiting_by_route_tier, *+self.running_by_route_tier})
        weight_by_route_tier = {
            tier: WEIGHT_RATIO**-position for position, tier in enumerate(present)
        }
        share = (
            self.slots
            * weight_by_route_tier[route_tier]
            / sum(weight_by_route_tier.values())
        )
        return self.running_by_route_tier[route_tier] >= share
