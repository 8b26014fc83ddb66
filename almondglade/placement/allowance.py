"""Hold workspaces to their allowances over all instances.

Load pattern: one workspace sends many times its usual, spread over all
instances; together they must serve its allowance and no more.
"""

from collections import Counter
from dataclasses import dataclass
from enum import IntEnum

# Share of the burst that may be drawn after a restart. Each restart of a rolling
# one adds as much to what the fleet draws; the pages' slack bears four at once.
RESTART_SHARE = 0.5

# An instance that was not heard for this long told another relay meanwhile; more
# than two regular reports.
PAUSE_SECONDS = 1.1


class Scope(IntEnum):
    """Whose draws an instance tells another.

    Attributes
    ----------
    OWN
        Its own.
    DATA_CENTRE
        Those of its data centre, to the relays of others.
    OTHERS
        All but the receiver's, from the relay of its data centre.
    """

    OWN = 0
    DATA_CENTRE = 1
    OTHERS = 2


@dataclass
class _Bucket:
    level: float
    at: float
    drawn_here: float = 0.0


class SharedAllowances:
    """A token bucket for each workspace, kept alike by all instances.

    Each instance takes its own draws from its copy at once, and those of the
    others as their counters arrive.

    Parameters
    ----------
    starts_full : bool
        Whether a workspace not seen before may draw its whole burst. After a
        restart the draws of the last seconds are not known.
    """

    def __init__(self, starts_full=True):
        self.starts_full = starts_full
        self._bucket_by_workspace: dict[str, _Bucket] = {}
        self._drawn_by_peer: dict[tuple[str, int, Scope], dict[str, float]] = {}
        self._told_at: dict[tuple[str, int, Scope], float] = {}
        self._heard_by_peer: dict[tuple[str, Scope], Counter] = {}

    def draw(self, terms, amount, now):
        """Take an amount if the allowance holds it.

        Parameters
        ----------
        terms : WorkspaceTerms
            Workspace and its allowance.
        amount : float
            Tokens or requests.

        Returns
        -------
        float
            0 if it was taken, else the seconds until it could be.
        """
        if terms.rate <= 0.0:
            return 0.0
        bucket = self._refill(terms, now)
        # A request larger than the whole burst passes when the bucket is full.
        needed = min(amount, terms.burst)
        if bucket.level < needed:
            return (needed - bucket.level) / terms.rate
        bucket.level -= amount
        bucket.drawn_here += amount
        return 0.0

    def give_back(self, terms, amount):
        """Return what a request drew that did not run."""
        bucket = self._bucket_by_workspace.get(terms.name)
        if bucket is not None and terms.rate > 0.0:
            bucket.level = min(terms.burst, bucket.level + amount)
            bucket.drawn_here -= amount

    def take_peer(
        self,
        peer,
        incarnation,
        drawn_by_workspace,
        scope=Scope.OWN,
        now=None,
        is_counted=True,
    ):
        """Take in the draws that a peer has counted since its start.

        Parameters
        ----------
        drawn_by_workspace : dict of str to float
            Its counters.
        scope : Scope
            Whose draws they are.
        now : float or None
            Monotonic time; None if no relay tells of draws. After a pause the
            draws of the meantime were told by another relay.
        is_counted : bool
            Whether the draws do not reach this instance by another way too.
        """
        key = (peer, incarnation, scope)
        known = self._drawn_by_peer.get(key)
        paused = now is not None and now - self._told_at.get(key, now) > PAUSE_SECONDS
        self._drawn_by_peer[key] = dict(drawn_by_workspace)
        if now is not None:
            self._told_at[key] = now
        if known is None or paused or not is_counted:
            # What a peer drew before it was first heard of is long refilled.
            return
        heard = self._heard_by_peer.setdefault((peer, scope), Counter())
        for workspace, drawn in drawn_by_workspace.items():
            change = drawn - known.get(workspace, 0.0)
            heard[workspace] += change
            bucket = self._bucket_by_workspace.get(workspace)
            if bucket is not None:
                bucket.level -= change

    def drawn(self, scope, receiver=""):
        """Return counters by workspace to tell a peer.

        Parameters
        ----------
        scope : Scope
            Whose draws the peer is told.
        receiver : str
            The peer, whose own draws it knows better.
        """
        total: Counter = Counter(self.drawn_here())
        if scope is Scope.OWN:
            return dict(total)
        for (peer, heard_scope), heard in self._heard_by_peer.items():
            if peer != receiver and heard_scope < scope:
                total.update(heard)
        return dict(total)

    def drawn_here(self):
        """Return this instance's counters by workspace."""
        return {
            name: bucket.drawn_here
            for name, bucket in self._bucket_by_workspace.items()
            if bucket.drawn_here
        }

    def prepare(self, workspaces, now):
        """Begin the buckets of workspaces, so that peers' draws count."""
        for terms in workspaces:
            if terms.rate > 0.0:
                self._refill(terms, now)

    def _refill(self, terms, now):
        bucket = self._bucket_by_workspace.get(terms.name)
        if bucket is None:
            level = terms.burst * (1.0 if self.starts_full else RESTART_SHARE)
            bucket = self._bucket_by_workspace[terms.name] = _Bucket(level, now)
        elapsed = max(0.0, now - bucket.at)
        bucket.level = min(terms.burst, bucket.level + elapsed * terms.rate)
        bucket.at = now
        return bucket
