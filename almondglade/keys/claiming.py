"""Ask every instance to accept a claim on a caller's own key."""

from dataclasses import dataclass

from ..outcome import Code, Outcome, RequestError
from .claims import PAUSE_MARGIN_SECONDS
from .codec import Holder, key_void_error

UNSETTLED_RETRY_SECONDS = 2.0


@dataclass(frozen=True)
class ClaimProposal:
    """What a claimant sends to every other instance.

    Parameters
    ----------
    instead_of : Holder or None
        A holder that has yielded to the claimant.
    """

    workspace: str
    key: str
    claimant: Holder
    instead_of: Holder | None = None


@dataclass(frozen=True)
class ClaimVote:
    """An instance's reply to a claim.

    Parameters
    ----------
    voter : Holder
        Who replies.
    holder : Holder or None
        The holder that it has recorded; None if its table is full.
    listed_seconds : float
        Seconds for which it has been listed without a break.
    known : frozenset of str
        Instances that are listed or connected at the voter.
    list_version : int
        Version of the list that the voter has read.
    """

    voter: Holder
    holder: Holder | None
    listed_seconds: float
    known: frozenset[str]
    list_version: int


@dataclass(frozen=True)
class HolderDecision:
    """Who may run the request of a key.

    Parameters
    ----------
    holder : Holder
        This process only if every instance has accepted its claim.
    round_started_at : float
        When the round began, monotonic seconds.
    """

    holder: Holder
    round_started_at: float


class Voter:
    """Replies to claims, also to this process's own.

    Parameters
    ----------
    claims : ClaimTable
        Claims recorded here.
    peers : Peers
        Tells which instances are known.
    """

    def __init__(self, claims, peers):
        self.claims = claims
        self.peers = peers

    def vote(self, scoped_key, proposal):
        """Record a claim if it can be accepted and return the `ClaimVote`."""
        holder = self.claims.receive(scoped_key, proposal.claimant, proposal.instead_of)
        listing = self.peers.listing
        return ClaimVote(
            self.claims.own,
            holder,
            listing.listed_seconds(),
            frozenset(self.peers.names()),
            listing.version,
        )


class Claimant:
    """Settles who holds a caller's own key.

    Parameters
    ----------
    voter : Voter
        This process's own vote.
    peers : Peers
        Carries claims to the other instances.
    list_lag : float
        Seconds after an instance is listed by which all others may read so.
    """

    def __init__(self, voter, peers, list_lag):
        self.voter = voter
        self.claims = voter.claims
        self.peers = peers
        self.list_lag = list_lag

    @property
    def witness_age(self):
        """Seconds on the list from which an instance is a witness.

        A witness was known to all when the key can first have been used within
        the window, so it would have recorded the claim.
        """
        return self.claims.window + self.list_lag + PAUSE_MARGIN_SECONDS

    def decide_holder(self, scoped_key):
        """Return the `HolderDecision` for a key.

        Raises
        ------
        RequestError
            If it cannot be settled now, or its holder has gone.
        """
        round_started_at = self.claims.clock()
        own = self.claims.own
        proposal = ClaimProposal(scoped_key.workspace, scoped_key.key, own)
        own_vote = self.voter.vote(scoped_key, proposal)
        if own_vote.holder is None:
            raise key_unsettled_error("too many keys are in use")
        if own_vote.holder != own:
            return HolderDecision(own_vote.holder, round_started_at)
        if not self.peers.listing.is_fresh():
            raise key_unsettled_error("the list of instances was not read lately")
        peer_names = self.peers.names()
        votes = self._collect_votes(peer_names, proposal)
        dissenting = [vote for vote in votes.values() if vote.holder != own]
        if dissenting:
            return self._resolve_conflict(
                scoped_key, round_started_at, votes, dissenting
            )
        self._check_complete(peer_names, [own_vote, *votes.values()])
        return HolderDecision(own, round_started_at)

    def _collect_votes(self, names, proposal):
        votes = self.peers.claim(names, proposal)
        missing = sorted(set(names) - votes.keys())
        self_votes = [vote for vote in votes.values() if self._votes_for_itself(vote)]
        # A first-hand holder settles it, whoever else is silent.
        if missing and not self_votes:
            raise key_unsettled_error(f"no reply from {', '.join(missing)}")
        return votes

    def _votes_for_itself(self, vote):
        return vote.holder == vote.voter

    def _resolve_conflict(self, scoped_key, round_started_at, votes, dissenting):
        """Follow another holder, or take over from one that has yielded."""
        for vote in dissenting:
            if vote.holder is None:
                raise key_unsettled_error(
                    f"{vote.voter.instance} has too many keys in use"
                )
            if self._votes_for_itself(vote):
                self.claims.yield_to(scoped_key, vote.holder)
                return HolderDecision(vote.holder, round_started_at)
        accepting = {v.voter for v in votes.values() if v.holder == self.claims.own}
        for vote in dissenting:
            self._take_over(scoped_key, vote, accepting, votes)
        raise key_unsettled_error("another instance claimed the key at the same time")

    def _take_over(self, scoped_key, vote, accepting, votes):
        if vote.holder in accepting:
            own = self.claims.own
            proposal = ClaimProposal(
                scoped_key.workspace, scoped_key.key, own, vote.holder
            )
            self.peers.claim([vote.voter.instance], proposal)
            return
        present = {v.voter for v in votes.values()} | {self.claims.own}
        if vote.holder not in present:
            self.claims.yield_to(scoped_key, vote.holder)
            raise key_void_error("the instance that used the key has gone")

    def _check_complete(self, peer_names, votes):
        unknown = set().union(*(v.known for v in votes)) - set(peer_names)
        unknown.discard(self.claims.own.instance)
        if unknown:
            raise key_unsettled_error(
                f"not yet known here: {', '.join(sorted(unknown))}"
            )
        if len({vote.list_version for vote in votes}) > 1:
            raise key_unsettled_error("the instances have read different lists")
        # A younger one may have read a list from before its start.
        if min(vote.listed_seconds for vote in votes) < self.list_lag:
            raise key_unsettled_error("an instance has started lately")
        oldest = max(vote.listed_seconds for vote in votes)
        if oldest < self.witness_age:
            raise key_unsettled_error(
                "no instance has been listed for long enough",
                self.witness_age - oldest,
            )


def key_unsettled_error(cause, retry_after=UNSETTLED_RETRY_SECONDS):
    """Return the error of a key whose use could not be ruled out now.

    The outcome is unknown, since an earlier send may have run it.
    """
    return RequestError(
        Code.KEY_UNSETTLED,
        f"the key's use cannot be ruled out at present: {cause}",
        Outcome.UNKNOWN,
        retry_after,
    )
