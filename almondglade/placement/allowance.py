"""Enforce workspace allowances across all instances.

Load pattern: one workspace sends many times its usual load, spread over all
instances; together they must serve its allowance and no more.
"""

from collections import Counter
from dataclasses import dataclass
from enum import IntEnum

# Share of the burst that is available after a restart. During a rolling restart,
# each restarted instance adds this much to the fleet's consumption; the slack of the
# allowance bound covers four at once.
RESTART_BURST_SHARE = 0.5

# A peer that was silent for longer has reported to another relay in the meantime.
# Longer than two report intervals.
REPORT_GAP_SECONDS = 1.1


class Scope(IntEnum):
    """Whose consumption an instance reports to a peer.

    Attributes
    ----------
    OWN
        Its own.
    DATA_CENTRE
        That of its data centre; sent by relays to the relays of other data centres.
    OTHERS
        That of all instances except the receiver; sent by the relay of a data
        centre to its members.
    """

    OWN = 0
    DATA_CENTRE = 1
    OTHERS = 2


@dataclass
class _Bucket:
    level: float
    updated_at: float
    consumed_here: float = 0.0


class SharedAllowances:
    """A token bucket for each workspace, replicated on all instances.

    Each instance subtracts its own consumption from its copy at once, and that of
    its peers as their counters arrive.

    Parameters
    ----------
    starts_full : bool
        Whether the bucket of a new workspace starts with the whole burst. It should
        not after a restart, as the consumption of the last seconds is unknown.
    """

    def __init__(self, starts_full=True):
        self.starts_full = starts_full
        self._bucket_by_workspace: dict[str, _Bucket] = {}
        self._counters_by_peer: dict[tuple[str, int, Scope], dict[str, float]] = {}
        self._reported_at: dict[tuple[str, int, Scope], float] = {}
        self._consumed_by_peer: dict[tuple[str, Scope], Counter] = {}

    def consume(self, terms, amount, now):
        """Take an amount from the bucket of a workspace if it holds enough.

        Parameters
        ----------
        terms : WorkspaceTerms
            Workspace and its allowance.
        amount : float
            Tokens or requests.

        Returns
        -------
        float
            0 if it was taken, else the seconds until enough has been refilled.
        """
        if terms.rate <= 0.0:
            return 0.0
        bucket = self._refill(terms, now)
        # A request larger than the whole burst passes when the bucket is full.
        needed = min(amount, terms.burst)
        if bucket.level < needed:
            return (needed - bucket.level) / terms.rate
        bucket.level -= amount
        bucket.consumed_here += amount
        return 0.0

    def refund(self, terms, amount):
        """Return what was consumed for a request that did not run."""
        bucket = self._bucket_by_workspace.get(terms.name)
        if bucket is not None and terms.rate > 0.0:
            bucket.level = min(terms.burst, bucket.level + amount)
            bucket.consumed_here -= amount

    def apply_peer_counters(
        self,
        peer,
        incarnation,
        consumed_by_workspace,
        scope=Scope.OWN,
        now=None,
        is_counted=True,
    ):
        """Subtract what a peer's counters have grown by since its last report.

        Parameters
        ----------
        consumed_by_workspace : dict of str to float
            Its counters; they start at 0 with each incarnation.
        scope : Scope
            Whose consumption they count.
        now : float or None
            Monotonic time; None if no relays are in use. After a gap in the
            reports, another relay has reported the consumption in between.
        is_counted : bool
            Whether this consumption reaches this instance by no other route.
        """
        key = (peer, incarnation, scope)
        previous = self._counters_by_peer.get(key)
        has_gap = (
            now is not None
            and now - self._reported_at.get(key, now) > REPORT_GAP_SECONDS
        )
        self._counters_by_peer[key] = dict(consumed_by_workspace)
        if now is not None:
            self._reported_at[key] = now
        if previous is None or has_gap or not is_counted:
            # What a peer consumed before its first report has long been refilled.
            return
        total = self._consumed_by_peer.setdefault((peer, scope), Counter())
        for workspace, consumed in consumed_by_workspace.items():
            change = consumed - previous.get(workspace, 0.0)
            total[workspace] += change
            bucket = self._bucket_by_workspace.get(workspace)
            if bucket is not None:
                bucket.level -= change

    def counters_for(self, scope, receiver=""):
        """Return the counters by workspace to report to a peer.

        Parameters
        ----------
        scope : Scope
            Whose consumption is reported.
        receiver : str
            The peer; its own consumption is left out, as it knows that better.
        """
        total: Counter = Counter(self.consumed_here())
        if scope is Scope.OWN:
            return dict(total)
        # Only counters of a narrower scope are forwarded, else some count twice.
        for (peer, peer_scope), consumed in self._consumed_by_peer.items():
            if peer != receiver and peer_scope < scope:
                total.update(consumed)
        return dict(total)

    def consumed_here(self):
        """Return the consumption on this instance by workspace."""
        return {
            name: bucket.consumed_here
            for name, bucket in self._bucket_by_workspace.items()
            if bucket.consumed_here
        }

    def ensure_buckets(self, workspaces, now):
        """Create the buckets of workspaces, so that peers' consumption counts."""
        for terms in workspaces:
            if terms.rate > 0.0:
                self._refill(terms, now)

    def _refill(self, terms, now):
        bucket = self._bucket_by_workspace.get(terms.name)
        if bucket is None:
            level = terms.burst * (1.0 if self.starts_full else RESTART_BURST_SHARE)
            bucket = self._bucket_by_workspace[terms.name] = _Bucket(level, now)
        elapsed = max(0.0, now - bucket.updated_at)
        bucket.level = min(terms.burst, bucket.level + elapsed * terms.rate)
        bucket.updated_at = now
        return bucket
