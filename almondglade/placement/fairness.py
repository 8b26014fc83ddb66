"""Order waiting requests by workspace, without starving a kind of request.

Load pattern: a kind of request with long answers arrives faster than its
answers end. By rank of the workspace alone, the long answers of the first
workspaces would hold all slots and everybody else would be late. So each kind
has a share of the slots, larger for the more urgent kinds; what is within its
share goes first, and inside both groups the workspace decides, then the kind.
"""

from collections import Counter

# How many times the share of a kind is that of the next less urgent one.
WEIGHT_RATIO = 3.0


class FairOrder:
    """The order in which waiting requests of one service get slots.

    Parameters
    ----------
    count_running : callable
        Returns a Counter of the requests that run, by the rank of their kind;
        called if there is more than one request to order.
    slots : int
        Requests that may run at once.
    """

    def __init__(self, count_running, slots):
        self.count_running = count_running
        self.slots = slots
        self.running_by_kind: Counter = Counter()

    def started(self, kind):
        """Count a request that got a place."""
        self.running_by_kind[kind] += 1

    def sort(self, tickets):
        """Yield requests, the best first, as slots are given out.

        Parameters
        ----------
        tickets : sequence of Ticket
        """
        if len(tickets) == 1:
            yield from tickets
            return
        self.running_by_kind = Counter(self.count_running())
        waiting_by_kind: dict[int, list] = {}
        for ticket in sorted(tickets, key=lambda entry: entry.rank, reverse=True):
            waiting_by_kind.setdefault(ticket.kind, []).append(ticket)
        while waiting_by_kind:
            kind = min(
                waiting_by_kind,
                key=lambda kind: (
                    self._is_over_share(kind, waiting_by_kind),
                    waiting_by_kind[kind][-1].rank,
                ),
            )
            tickets_of_kind = waiting_by_kind[kind]
            yield tickets_of_kind.pop()
            if not tickets_of_kind:
                del waiting_by_kind[kind]

    def _is_over_share(self, kind, waiting_by_kind):
        kinds = sorted({*waiting_by_kind, *+self.running_by_kind})
        weight_by_kind = {
            present: WEIGHT_RATIO**-position for position, present in enumerate(kinds)
        }
        share = self.slots * weight_by_kind[kind] / sum(weight_by_kind.values())
        return self.running_by_kind[kind] >= share
