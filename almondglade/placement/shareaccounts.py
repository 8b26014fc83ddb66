"""Accounts of the work that workspaces were granted, for fair shares.

Load pattern: that of `shares`, over hundreds of decisions per second, so that each one
only adds to sums.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

# Weight of the newest request in the mean work of a request.
MEAN_WORK_WEIGHT = 0.02
# Workspaces whose tags one account keeps before it drops those without effect.
MAX_TAGS = 256
# Interval at which granted work is compared with the shares; several slot times.
REVIEW_SECONDS = 1.0
# A review is used for this long; none is made while no requests wait.
REVIEW_VALIDITY_SECONDS = 2.0 * REVIEW_SECONDS
# A workspace is over its share when it holds more than this multiple of it; single
# large requests make small differences.
OVER_SHARE_RATIO = 1.25
# Weight of a workspace without an allowance, and the mean weight of those with one.
MEAN_WEIGHT = 1.0


@dataclass
class TierAccount:
    """Start tags of the workspaces in one tier of a cell.

    Attributes
    ----------
    newest_tag : float
        Start tag of the newest grant, in weighted work.
    next_tag_by_workspace : dict of str to float
        Start tag of the next request; the newest tag if lower or missing.
    unnamed_weight : float
        Weight of the requests without a workspace.
    """

    newest_tag: float = 0.0
    next_tag_by_workspace: dict[str, float] = field(default_factory=dict)
    unnamed_weight: float = MEAN_WEIGHT

    def next_tag(self, workspace):
        """Return the start tag of the next request of a workspace."""
        return max(
            self.newest_tag, self.next_tag_by_workspace.get(workspace, -math.inf)
        )

    def record_grant(self, workspace, weighted_work):
        """Move the tag of a workspace on by the work of a granted request."""
        self.newest_tag = self.next_tag(workspace)
        self.next_tag_by_workspace[workspace] = self.newest_tag + weighted_work
        if len(self.next_tag_by_workspace) > MAX_TAGS:
            self.next_tag_by_workspace = {
                name: tag
                for name, tag in self.next_tag_by_workspace.items()
                if tag > self.newest_tag
            }


class CellAccount:
    """The work that was granted in one cell.

    Attributes
    ----------
    account_by_tier : dict of tuple of int to TierAccount
    mean_work : float
        Mean work of the requests that state theirs, in tokens; 1 if none does.
    over_share : frozenset of str
        Workspaces that held more than their share at the last review.
    pace_by_tier : dict of tuple of int to dict of str to float
        Work per second that each workspace would get if it had some waiting, by the
        last two reviews.
    """

    def __init__(self):
        self.account_by_tier: dict[tuple[int, ...], TierAccount] = {}
        self.mean_work = 1.0
        self.over_share: frozenset[str] = frozenset()
        self.pace_by_tier: dict[tuple[int, ...], dict[str, float]] = {}
        self._has_known_work = False
        self._work_by_tier: dict[tuple[int, ...], Counter] = {}
        self.reviewed_at = -math.inf

    def tier(self, tier):
        """Return the account of a tier."""
        account = self.account_by_tier.get(tier)
        if account is None:
            account = self.account_by_tier[tier] = TierAccount()
        return account

    def work(self, ticket):
        """Return the work of a request, the mean if it is not known."""
        return ticket.tokens or self.mean_work

    def record_grant(self, ticket, weight):
        """Count the work of a granted request."""
        if ticket.tokens:
            step = MEAN_WORK_WEIGHT if self._has_known_work else 1.0
            self.mean_work += step * (ticket.tokens - self.mean_work)
            self._has_known_work = True
        work = self.work(ticket)
        self.tier(ticket.tier).record_grant(ticket.workspace, work / weight)
        self._work_by_tier.setdefault(ticket.tier, Counter())[ticket.workspace] += work

    def review(self, waiting, weight_of, now):
        """Compare the work granted since the last review with the shares.

        A workspace is not over its share while no other waits, as nobody lacks what it
        holds.

        Parameters
        ----------
        waiting : set of str
            Workspaces whose requests wait.

        Returns
        -------
        list of (str, bool, float, float)
            Workspace, whether it is over its share, the share, and what it holds, for
            those for which that has changed.
        """
        seconds, self.reviewed_at = now - self.reviewed_at, now
        work_by_tier, self._work_by_tier = self._work_by_tier, {}
        # Over a long time, most of it without waiting requests, the pace is too low.
        self.pace_by_tier = {
            tier: _paces(work_by_workspace, waiting, weight_of, seconds)
            for tier, work_by_workspace in work_by_tier.items()
            if seconds < REVIEW_VALIDITY_SECONDS
        }
        granted = sum(work_by_tier.values(), Counter())
        total_work = sum(granted.values())
        total_weight = sum(map(weight_of, granted.keys() | waiting))
        share_by_workspace = {
            name: weight_of(name) / total_weight for name in granted.keys() | waiting
        }
        held_by_workspace = {name: work / total_work for name, work in granted.items()}
        over_share = frozenset(
            name
            for name, held in held_by_workspace.items()
            if waiting - {name} and held > OVER_SHARE_RATIO * share_by_workspace[name]
        )
        changed, self.over_share = over_share ^ self.over_share, over_share
        return [
            (
                name,
                name in over_share,
                share_by_workspace.get(name, 0.0),
                held_by_workspace.get(name, 0.0),
            )
            for name in sorted(changed)
        ]


def _paces(work_by_workspace, waiting, weight_of, seconds):
    """Return the work per second that each workspace would get with some waiting.

    That is its share at least; who got less has asked for less.
    """
    names = work_by_workspace.keys() | waiting
    share = sum(work_by_workspace.values()) / sum(map(weight_of, names))
    return {
        name: max(work_by_workspace[name], share * weight_of(name)) / seconds
        for name in names
    }
