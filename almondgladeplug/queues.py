"""Policies that order the queue of waiting demands."""

from collections import OrderedDict

from almondglade.coordinator.queues import QueueOrder, WaitingDemand


class FairQueue:
    """Demands of one tier; each workspace gets an equal share of the tokens.

    Implements start-time fair queueing: the workspace whose next demand has the
    earliest virtual start time is served, and the virtual start of its following
    demand is later by the tokens of the one served. A workspace that had nothing
    waiting starts no earlier than at the current virtual time.
    """

    def __init__(self):
        self.by_workspace: dict[str, OrderedDict[str, WaitingDemand]] = {}
        self.virtual_start_by_workspace: dict[str, int] = {}
        self.tokens_by_workspace: dict[str, int] = {}
        self.virtual_time = 0

    def push(self, waiting):
        """Append a demand to the queue of its workspace."""
        name = waiting.demand.workspace
        if name not in self.by_workspace:
            self.by_workspace[name] = OrderedDict()
            self.tokens_by_workspace[name] = 0
            start = self.virtual_start_by_workspace.get(name, self.virtual_time)
            self.virtual_start_by_workspace[name] = max(start, self.virtual_time)
        self.by_workspace[name][waiting.demand.request_id] = waiting
        self.tokens_by_workspace[name] += cost(waiting.demand)

    def first(self):
        """Return the demand to serve next."""
        name = min(self.by_workspace, key=self._start)
        return next(iter(self.by_workspace[name].values()))

    def charge(self, demand):
        """Charge a demand to its workspace; must be called before `remove`."""
        self.virtual_time = self._start(demand.workspace)
        self.virtual_start_by_workspace[demand.workspace] += cost(demand)

    def remove(self, demand):
        """Remove and return a waiting demand."""
        name = demand.workspace
        waiting = self.by_workspace[name].pop(demand.request_id)
        self.tokens_by_workspace[name] -= cost(demand)
        if not self.by_workspace[name]:
            del self.by_workspace[name], self.tokens_by_workspace[name]
        return waiting

    def victim(self):
        """Return the newest demand of the workspace with the most waiting tokens."""
        name = max(self.by_workspace, key=self.tokens_by_workspace.__getitem__)
        return next(reversed(self.by_workspace[name].values()))

    def _start(self, name):
        return self.virtual_start_by_workspace[name]


class TieredQueue(QueueOrder):
    """Serves the highest tier first and the workspaces of a tier in equal shares."""

    name = "tiered"

    def __init__(self):
        self.by_tier: dict[int, FairQueue] = {}
        self.by_request: dict[str, WaitingDemand] = {}

    def push(self, waiting):
        """Append a demand to the queue of its workspace."""
        demand = waiting.demand
        self.by_tier.setdefault(demand.tier, FairQueue()).push(waiting)
        self.by_request[demand.request_id] = waiting

    def peek(self):
        """Return the next demand of the highest waiting tier, or None."""
        tiers = self._waiting_tiers()
        return self.by_tier[min(tiers)].first() if tiers else None

    def pop(self):
        """Remove and return the next demand, and charge it to its workspace."""
        waiting = self.peek()
        self.by_tier[waiting.demand.tier].charge(waiting.demand)
        return self.remove(waiting.demand.request_id)

    def remove(self, request_id):
        """Remove and return a demand, or None if it is not waiting."""
        waiting = self.by_request.pop(request_id, None)
        if waiting is None:
            return None
        return self.by_tier[waiting.demand.tier].remove(waiting.demand)

    def victim(self):
        """Return the demand to shed first, or None.

        This is the newest demand of the workspace with the most waiting tokens in the
        lowest waiting tier.
        """
        tiers = self._waiting_tiers()
        return self.by_tier[max(tiers)].victim() if tiers else None

    def _waiting_tiers(self):
        return [number for number, tier in self.by_tier.items() if tier.by_workspace]

    def __iter__(self):
        return iter(list(self.by_request.values()))

    def __len__(self):
        return len(self.by_request)


def cost(demand):
    """Return the tokens charged to the share of a workspace, at least 1."""
    return max(1, demand.tokens)


class FifoQueue(QueueOrder):
    """Serves in order of arrival, whatever the tier; a baseline for comparisons."""

    name = "fifo"

    def __init__(self):
        self.by_request: OrderedDict = OrderedDict()

    def push(self, waiting):
        """Append a demand to the queue."""
        self.by_request[waiting.demand.request_id] = waiting

    def peek(self):
        """Return the oldest demand, or None."""
        return next(iter(self.by_request.values()), None)

    def pop(self):
        """Remove and return the oldest demand."""
        return self.by_request.popitem(last=False)[1]

    def remove(self, request_id):
        """Remove and return a demand, or None if it is not waiting."""
        return self.by_request.pop(request_id, None)

    def victim(self):
        """Return the newest demand, or None."""
        return next(reversed(self.by_request.values()), None)

    def __iter__(self):
        return iter(list(self.by_request.values()))

    def __len__(self):
        return len(self.by_request)
