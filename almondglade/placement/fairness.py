"""Order waiting requests by workspace without starving any route tier.

Load pattern: requests of one route tier with long responses arrive faster than they
finish. In the order of workspaces alone, the long responses of the first workspaces
would hold all slots and all other requests would be late. So each route tier has a
share of the slots, larger for the more urgent tiers. Requests of tiers within their
share go first; inside both groups the order is by the tier of the workspace, then by
route tier. Inside a tier, requests are served as they arrive, or by the shares of
their workspaces.
"""

import itertools
from collections import Counter
from operator import attrgetter

# The share of a route tier, as a multiple of that of the next less urgent one.
WEIGHT_RATIO = 3.0
# The order inside a tier; with the tier before it, that of `Ticket.rank`.
by_arrival = attrgetter("rank_in_tier")


def arrange_by_arrival(tickets):
    """Return the requests of one tier in the order in which they arrived."""
    return sorted(tickets, key=by_arrival)


class FairOrder:
    """The order in which waiting requests of one service get slots.

    Parameters
    ----------
    count_running : callable
        Returns a Counter of the running requests by route tier; called only if
        there is more than one request to order.
    slots : int
        Requests that may run at once.
    arrange : callable
        Takes the requests of one tier and returns an iterable of them in the order in
        which they should get slots.
    """

    def __init__(self, count_running, slots, arrange=arrange_by_arrival):
        self.count_running = count_running
        self.slots = slots
        self.arrange = arrange
        self.running_by_route_tier: Counter = Counter()
        self._is_over_share_by_route_tier: dict[int, bool] = {}

    def record_start(self, route_tier):
        """Count a request that got a slot."""
        self.running_by_route_tier[route_tier] += 1
        self._is_over_share_by_route_tier.clear()

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
        self._is_over_share_by_route_tier.clear()
        tickets_by_tier: dict[tuple[int, ...], list] = {}
        for ticket in tickets:
            tickets_by_tier.setdefault(ticket.tier, []).append(ticket)
        groups_by_route_tier: dict[int, list] = {}
        for tier in sorted(tickets_by_tier):
            groups_by_route_tier.setdefault(tier[-1], []).append(tickets_by_tier[tier])
        queue_by_route_tier = {
            route_tier: itertools.chain.from_iterable(map(self.arrange, groups))
            for route_tier, groups in groups_by_route_tier.items()
        }
        next_by_route_tier = {
            route_tier: next(queue) for route_tier, queue in queue_by_route_tier.items()
        }
        while next_by_route_tier:
            route_tier = self._choose(next_by_route_tier)
            yield next_by_route_tier[route_tier]
            following = next(queue_by_route_tier[route_tier], None)
            if following is not None:
                next_by_route_tier[route_tier] = following
                continue
            del next_by_route_tier[route_tier]
            self._is_over_share_by_route_tier.clear()

    def _choose(self, next_by_route_tier):
        """Return the route tier that gets the next slot."""
        if len(next_by_route_tier) == 1:
            return next(iter(next_by_route_tier))
        if not self._is_over_share_by_route_tier:
            self._is_over_share_by_route_tier = {
                tier: self._is_over_share(tier, next_by_route_tier)
                for tier in next_by_route_tier
            }
        return min(
            next_by_route_tier,
            key=lambda tier: (
                self._is_over_share_by_route_tier[tier],
                next_by_route_tier[tier].tier,
            ),
        )

    def _is_over_share(self, route_tier, next_by_route_tier):
        # The unary plus drops tiers without running requests.
        present = sorted({*next_by_route_tier, *+self.running_by_route_tier})
        weight_by_route_tier = {
            tier: WEIGHT_RATIO**-position for position, tier in enumerate(present)
        }
        share = (
            self.slots
            * weight_by_route_tier[route_tier]
            / sum(weight_by_route_tier.values())
        )
        return self.running_by_route_tier[route_tier] >= share
