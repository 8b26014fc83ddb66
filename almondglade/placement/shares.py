"""Share the slots of a service among workspaces by the work that they bring.

Load pattern: one workspace sends many times its usual requests, within its allowance,
while the targets are full. By arrival alone, who sends most would get most. Instead,
within each tier, the workspaces that wait get equal work, or work in proportion to
their allowances (max-min fairness by start-time fair queueing). Each waiting request
has a start tag, the weighted work that its workspace has been granted and has waiting
ahead of it, and the lowest is served first. The size of a request only delays the
later ones of its workspace, so the largest prompts get their turn as all others do.
A workspace that returns starts at the tag of the newest grant: it gets its share at
once, and no credit for the time in which it sent nothing.
"""

import heapq
import statistics
from collections import Counter
from dataclasses import dataclass

from .cells import Cell
from .fairness import by_arrival
from .shareaccounts import (
    MEAN_WEIGHT,
    REVIEW_SECONDS,
    REVIEW_VALIDITY_SECONDS,
    CellAccount,
)

# Fewest workspaces with allowances among which slots are shared.
MIN_WORKSPACES = 2
# Most changes that are kept until they are logged.
MAX_CHANGES = 64


def weights_by_workspace(workspaces):
    """Return the weight of each workspace, or an empty dict if none are shared.

    Allowances in tokens and in requests are compared among their like only.

    Parameters
    ----------
    workspaces : iterable of WorkspaceTerms
    """
    terms_by_name = {terms.name: terms for terms in workspaces}
    rates_by_unit: dict[bool, list[float]] = {}
    for terms in terms_by_name.values():
        if terms.rate > 0.0:
            rates_by_unit.setdefault(terms.counts_tokens, []).append(terms.rate)
    if sum(map(len, rates_by_unit.values())) < MIN_WORKSPACES:
        return {}
    mean_by_unit = {
        unit: statistics.fmean(rates) for unit, rates in rates_by_unit.items()
    }
    return {
        name: MEAN_WEIGHT * terms.rate / mean_by_unit[terms.counts_tokens]
        if terms.rate > 0.0
        else MEAN_WEIGHT
        for name, terms in terms_by_name.items()
    }


@dataclass(frozen=True)
class ShareChange:
    """A workspace that has gone over its share of a cell, or is back within it.

    Parameters
    ----------
    share, held : float
        Its fair part of the granted work, and what it got of it.
    """

    cell: Cell
    workspace: str
    is_over: bool
    share: float
    held: float


class FairShares:
    """Orders the waiting requests of each tier by workspace.

    The account of grants is kept in memory only. Without it, as on a new coordinator,
    all workspaces start alike, which differs by at most one request of each.

    Attributes
    ----------
    weight_by_workspace : dict of str to float
        Empty while slots are not shared; the order is that of arrival then.
    """

    def __init__(self):
        self.weight_by_workspace: dict[str, float] = {}
        self._account_by_cell: dict[Cell, CellAccount] = {}
        self._changes: list[ShareChange] = []

    @property
    def is_active(self):
        """Whether slots are shared among workspaces."""
        return bool(self.weight_by_workspace)

    def configure(self, workspaces):
        """Share slots among some workspaces, if several have allowances.

        Parameters
        ----------
        workspaces : iterable of WorkspaceTerms
        """
        self.weight_by_workspace = weights_by_workspace(workspaces)
        if not self.is_active:
            self._account_by_cell.clear()

    def account(self, cell):
        """Return the account of a cell."""
        account = self._account_by_cell.get(cell)
        if account is None:
            account = self._account_by_cell[cell] = CellAccount()
        return account

    def arrange(self, cell, tickets):
        """Yield requests of one tier in the order in which they should get slots.

        Parameters
        ----------
        cell : Cell
        tickets : sequence of Ticket
        """
        account = self.account(cell)
        tier_account = account.tier(tickets[0].tier)
        queue_by_workspace: dict[str, list] = {}
        for ticket in tickets:
            queue_by_workspace.setdefault(ticket.workspace, []).append(ticket)
        self._weigh_unnamed(tier_account, queue_by_workspace)
        for queue in queue_by_workspace.values():
            queue.sort(key=by_arrival, reverse=True)
        # Requests with equal tags are served as they arrived.
        heap = [
            (tier_account.next_tag(workspace), by_arrival(queue[-1]), workspace)
            for workspace, queue in queue_by_workspace.items()
        ]
        heapq.heapify(heap)
        while heap:
            tag, _, workspace = heap[0]
            queue = queue_by_workspace[workspace]
            ticket = queue.pop()
            yield ticket
            if queue:
                tag += account.work(ticket) / self._weight(tier_account, workspace)
                heapq.heapreplace(heap, (tag, by_arrival(queue[-1]), workspace))
            else:
                heapq.heappop(heap)

    def own_waits(self, cell, tier, tickets, now):
        """Return how long new requests would wait for others of their workspaces.

        Later requests of other workspaces pass those of one that is beyond its share,
        so its queue moves at the pace at which it was granted work.

        Parameters
        ----------
        cell : Cell
        tier : tuple of int
        tickets : iterable of Ticket
            Requests that wait in the cell.

        Returns
        -------
        dict of str to float
            Seconds, by workspaces that were granted work lately and have some waiting.
        """
        account = self._account_by_cell.get(cell)
        if account is None or now - account.reviewed_at >= REVIEW_VALIDITY_SECONDS:
            return {}
        pace_by_workspace = account.pace_by_tier.get(tier, {})
        backlog: Counter = Counter()
        for ticket in tickets:
            if ticket.tier == tier and ticket.workspace in pace_by_workspace:
                backlog[ticket.workspace] += account.work(ticket)
        return {name: work / pace_by_workspace[name] for name, work in backlog.items()}

    def record_grant(self, cell, ticket):
        """Count a request that got a slot."""
        if self.is_active:
            account = self.account(cell)
            weight = self._weight(account.tier(ticket.tier), ticket.workspace)
            account.record_grant(ticket, weight)

    def review(self, cell, tickets, now):
        """Note which workspaces go over their share or return, if that is due.

        Parameters
        ----------
        tickets : sequence of Ticket
            Requests that wait as there are too few free slots.
        """
        if not self.is_active or not self._is_review_due(cell, now):
            return
        changes = self.account(cell).review(
            {ticket.workspace for ticket in tickets}, self._weight_of, now
        )
        self._changes.extend(ShareChange(cell, *change) for change in changes)
        del self._changes[:-MAX_CHANGES]

    def take_changes(self):
        """Return the changes since the last call, to be logged."""
        changes, self._changes = self._changes, []
        return changes

    def count_over_share(self, service, now):
        """Return how many workspaces hold more than their share of a service."""
        return sum(
            len(account.over_share)
            for cell, account in self._account_by_cell.items()
            if cell.service == service
            and now - account.reviewed_at < REVIEW_VALIDITY_SECONDS
        )

    def _is_review_due(self, cell, now):
        return now - self.account(cell).reviewed_at >= REVIEW_SECONDS

    def _weight_of(self, workspace):
        return self.weight_by_workspace.get(workspace, MEAN_WEIGHT)

    def _weight(self, tier_account, workspace):
        if not workspace:
            return tier_account.unnamed_weight
        return self._weight_of(workspace)

    def _weigh_unnamed(self, tier_account, queue_by_workspace):
        """Give requests without a workspace the part that they have by number.

        Instances of earlier releases don't report workspaces. As one workspace among
        others, all their callers together would have the share of one.
        """
        unnamed = len(queue_by_workspace.get("", ()))
        named = sum(map(len, queue_by_workspace.values())) - unnamed
        if unnamed and named:
            weight = sum(self._weight_of(name) for name in queue_by_workspace if name)
            tier_account.unnamed_weight = weight * unnamed / named
