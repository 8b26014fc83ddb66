"""Queue orders."""

from collections import OrderedDict

from almondglade.coordinator.queues import QueueOrder, Waiting

_Workspaces = OrderedDict[str, OrderedDict[str, Waiting]]


class TieredQueue(QueueOrder):
    """Serve the highest tier first and workspaces of one tier in turn."""

    name = "tiered"

    def __init__(self):
        self.by_tier: dict[int, _Workspaces] = {}
        self.by_request: dict[str, Waiting] = {}

    def push(self, waiting):
        """Add a demand behind the others of its workspace."""
        demand = waiting.demand
        workspaces = self.by_tier.setdefault(demand.tier, _Workspaces())
        requests = workspaces.setdefault(demand.workspace, OrderedDict())
        requests[demand.request_id] = waiting
        self.by_request[demand.request_id] = waiting

    def peek(self):
        """Return the oldest demand of the workspace whose turn it is."""
        if not self.by_tier:
            return None
        workspaces = self.by_tier[min(self.by_tier)]
        requests = next(iter(workspaces.values()))
        return next(iter(requests.values()))

    def pop(self):
        """Remove the next demand and give its workspace the last turn."""
        waiting = self.peek()
        demand = waiting.demand
        self.remove(demand.request_id)
        workspaces = self.by_tier.get(demand.tier)
        if workspaces is not None and demand.workspace in workspaces:
            workspaces.move_to_end(demand.workspace)
        return waiting

    def remove(self, request_id):
        """Remove one demand."""
        waiting = self.by_request.pop(request_id, None)
        if waiting is None:
            return None
        demand = waiting.demand
        workspaces = self.by_tier[demand.tier]
        del workspaces[demand.workspace][request_id]
        if not workspaces[demand.workspace]:
            del workspaces[demand.workspace]
        if not workspaces:
            del self.by_tier[demand.tier]
        return waiting

    def victim(self):
        """Return the newest demand of the lowest tier."""
        if not self.by_tier:
            return None
        workspaces = self.by_tier[max(self.by_tier)]
        return max(
            (next(reversed(requests.values())) for requests in workspaces.values()),
            key=lambda waiting: waiting.arrived,
        )

    def __iter__(self):
        return iter(list(self.by_request.values()))

    def __len__(self):
        return len(self.by_request)


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
