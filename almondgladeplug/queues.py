"""Queue orders."""

from collections import OrderedDict

from almondglade.coordinator.queues import QueueOrder, WaitingDemand


class Tier:
    """Demands of one tier; each workspace gets an equal share of the tokens.

    Start-time fair queueing: the workspace whose next demand has the earliest
    virtual start is served, and its next one starts that many tokens later. A
    workspace that had nothing waiting starts at the present virtual time.
    """

    def __init__(self):
        self.by_workspace: dict[str, OrderedDict[str, WaitingDemand]] = {}
        self.start_by_workspace: dict[str, int] = {}
        self.tokens_by_workspace: dict[str, int] = {}
        self.virtual = 0

    def push(self, waiting):
        """Add a demand behind the others of its workspace."""
        name = waiting.demand.workspace
        if name not in self.by_workspace:
            self.by_workspace[name] = OrderedDict()
            self.tokens_by_workspace[name] = 0
            start = self.start_by_workspace.get(name, self.virtual)
            self.start_by_workspace[name] = max(start, self.virtual)
        self.by_workspace[name][waiting.demand.request_id] = waiting
        self.tokens_by_workspace[name] += cost(waiting.demand)

    def first(self):
        """Return the demand to serve next."""
        name = min(self.by_workspace, key=self._start)
        return next(iter(self.by_workspace[name].values()))

    def serve(self, demand):
        """Charge a demand to its workspace; before it is removed."""
        self.virtual = self._start(demand.workspace)
        self.start_by_workspace[demand.workspace] += cost(demand)

    def remove(self, demand):
        """Remove and return one demand."""
        name = demand.workspace
        waiting = self.by_workspace[name].pop(demand.request_id)
        self.tokens_by_workspace[name] -= cost(demand)
        if not self.by_workspace[name]:
            del self.by_workspace[name], self.tokens_by_workspace[name]
        return waiting

    def last(self):
        """Return the newest demand of the workspace with the most waiting."""
        name = max(self.by_workspace, key=self.tokens_by_workspace.__getitem__)
        return next(reversed(self.by_workspace[name].values()))

    def _start(self, name):
        return self.start_by_workspace[name]


class TieredQueue(QueueOrder):
    """Serve the highest tier first and workspaces of one tier by fair shares."""

    name = "tiered"

    def __init__(self):
        self.by_tier: dict[int, Tier] = {}
        self.by_request: dict[str, WaitingDemand] = {}

    def push(self, waiting):
        """Add a demand behind the others of its workspace."""
        demand = waiting.demand
        self.by_tier.setdefault(demand.tier, Tier()).push(waiting)
        self.by_request[demand.request_id] = waiting

    def peek(self):
        """Return the next demand of the workspace whose turn it is."""
        tiers = self._waiting_tiers()
        return self.by_tier[min(tiers)].first() if tiers else None

    def pop(self):
        """Remove the next demand and charge it to its workspace."""
        waiting = self.peek()
        self.by_tier[waiting.demand.tier].serve(waiting.demand)
        return self.remove(waiting.demand.request_id)

    def remove(self, request_id):
        """Remove one demand."""
        waiting = self.by_request.pop(request_id, None)
        if waiting is None:
            return None
        return self.by_tier[waiting.demand.tier].remove(waiting.demand)

    def victim(self):
        """Return the newest demand of the longest workspace of the lowest tier."""
        tiers = self._waiting_tiers()
        return self.by_tier[max(tiers)].last() if tiers else None

    def _waiting_tiers(self):
        return [number for number, tier in self.by_tier.items() if tier.by_workspace]

    def __iter__(self):
        return iter(list(self.by_request.values()))

    def __len__(self):
        return len(self.by_request)


def cost(demand):
    """Return what a demand counts in its workspace's share."""
    return max(1, demand.tokens)


class FifoQueue(QueueOrder):
    """Serve in order of arrival whatever the tier: a baseline."""

    name = "fifo"

    def __init__(self):
        self.by_request: OrderedDict = OrderedDict()

    def push(self, waiting):
        """Add a demand at the end."""
        self.by_request[waiting.demand.request_id] = waiting

    def peek(self):
        """Return the oldest demand."""
        return next(iter(self.by_request.values()), None)

    def pop(self):
        """Remove the oldest demand."""
        return self.by_request.popitem(last=False)[1]

    def remove(self, request_id):
        """Remove one demand."""
        return self.by_request.pop(request_id, None)

    def victim(self):
        """Return the newest demand."""
        return next(reversed(self.by_request.values()), None)

    def __iter__(self):
        return iter(list(self.by_request.values()))

    def __len__(self):
        return len(self.by_request)
