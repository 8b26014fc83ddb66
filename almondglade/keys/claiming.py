"""Decide which process holds a caller-supplied key, by a vote of all instances."""

from dataclasses import dataclass

from ..outcome import Code, Outcome, RequestError
from .claims import PAUSE_MARGIN_SECONDS
from .codec import Holder, key_void_error

UNSETTLED_RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True)
class ClaimProposal:
    """Claim that a claimant sends to every other instance for a vote.

    Parameters
    ----------
    workspace, key : str
        The claimed key and the workspace in which it is unique.
    claimant : Holder
        Process that claims the key.
    instead_of : Holder or None
        Recorded holder to replace, which has itself yielded to the claimant.
    """

    workspace: str
    key: str
    claimant: Holder
    instead_of: Holder | None = None


@dataclass(frozen=True)
class ClaimVote:
    """An instance's reply to a claim proposal.

    Parameters
    ----------
    voter : Holder
        Process that replies.
    holder : Holder or None
        Holder that the voter has recorded; None if its claim table is full.
    listed_seconds : float
        Seconds for which the voter has been on the list of instances without
        interruption.
    known : frozenset of str
        Ids of the instances that are listed at the voter or connected to it.
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
    """Process that may run the request of a key.

    Parameters
    ----------
    holder : Holder
        This process only if every instance has accepted its claim.
    round_started_at : float
        Monotonic seconds at the start of the voting round.
    """

    holder: Holder
    round_started_at: float


class Voter:
    """Votes on claim proposals of all instances, including this one.

    Parameters
    ----------
    claims : ClaimTable
        Claims recorded at this instance.
    peers : Peers
        Provides the ids of the known instances and the state of their list.
    """

    def __init__(self, claims, peers):
        self.claims = claims
        self.peers = peers

    def vote(self, scoped_key, proposal):
        """Record the claim if it is acceptable and return the `ClaimVote`."""
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
    """Decides which process holds a caller-supplied key.

    Parameters
    ----------
    voter : Voter
        Casts the vote of this process.
    peers : Peers
        Sends claim proposals to the other instances.
    list_lag : float
        Maximum delay in seconds from the listing of an instance until all other
        instances can read it in the list.
    """

    def __init__(self, voter, peers, list_lag):
        self.voter = voter
        self.claims = voter.claims
        self.peers = peers
        self.list_lag = list_lag

    @property
    def witness_age(self):
        """Seconds on the list after which an instance counts as a witness.

        All other instances knew a witness at the earliest time at which the key
        can have been used within the window, so the witness would have recorded
        the claim.
        """
        return self.claims.window + self.list_lag + PAUSE_MARGIN_SECONDS

    def decide_holder(self, scoped_key):
        """Run a voting round and return the `HolderDecision` for a key.

        Raises
        ------
        RequestError
            If the holder cannot be determined now, or is no longer in the fleet.
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
        # A voter that is itself the holder decides, so missing votes don't matter.
        if missing and not self_votes:
            raise key_unsettled_error(f"no reply from {', '.join(missing)}")
        return votes

    def _votes_for_itself(self, vote):
        return vote.holder == vote.voter

    def _resolve_conflict(self, scoped_key, round_started_at, votes, dissenting):
        """Accept another holder, or take over the claim of one that has yielded."""
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
        """Ask a voter to replace a recorded holder that has accepted this claim.

        Raises
        ------
        RequestError
            If the recorded holder is no longer in the fleet.
        """
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
        """Check that all instances have voted and at least one is a witness.

        Raises
        ------
        RequestError
            If an instance may be missing or none is a witness.
        """
        unknown = set().union(*(v.known for v in votes)) - set(peer_names)
        unknown.discard(self.claims.own.instance)
        if unknown:
            raise key_unsettled_error(
                f"not yet known here: {', '.join(sorted(unknown))}"
            )
        if len({vote.list_version for vote in votes}) > 1:
            raise key_unsettled_error("the instances have read different lists")
        # An instance listed for less than the lag may have read a list published
        # before its own start.
        if min(vote.listed_seconds for vote in votes) < self.list_lag:
            raise key_unsettled_error("an instance has started lately")
        oldest = max(vote.listed_seconds for vote in votes)
        if oldest < self.witness_age:
            raise key_unsettled_error(
                "no instance has been listed for long enough",
                self.witness_age - oldest,
            )


def key_unsettled_error(cause, retry_after=UNSETTLED_RETRY_AFTER_SECONDS):
    """Return the error for a key that may already have been used.

    The outcome is unknown because an earlier attempt may have run the request.

    Parameters
    ----------
    cause : str
        Why earlier use cannot be ruled out now; sent to the caller.
    retry_after : float
        Seconds after which the caller should retry.
    """
    return RequestError(
        Code.KEY_UNSETTLED,
        f"the key's use cannot be ruled out at present: {cause}",
        Outcome.UNKNOWN,
        retry_after,
    )
