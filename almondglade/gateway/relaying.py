"""Pass requests through peers while this instance reaches no target of a service.

Load pattern: some or most instances lose their links to all targets for seconds, while
callers and the other instances still reach them. Their callers' requests take one hop
more, spread over the instances that reach the targets.
"""

import random
import threading
from collections import Counter
from dataclasses import replace

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..dispatch.call import ResponseHead
from ..errors import PeerError
from ..log import get_logger
from ..outcome import OUTCOME_HEADER, Outcome

log = get_logger("relays")

# Header of a relayed request: its `RelayTerms` as JSON.
RELAY_HEADER = "X-Almondglade-Relay"
# Header of the response to it: targets to which the peer sent the request.
ATTEMPTED_HEADER = "X-Almondglade-Attempted"
# Peers to which one request is offered.
MAX_RELAY_ATTEMPTS = 4
# A peer that could not take a request of a service is passed over for this long.
AVOIDANCE_SECONDS = 1.0
# Relays in progress by which a peer in another data centre is dispreferred.
REMOTE_PENALTY_RELAYS = 2.0


class RelayTerms(BaseModel):
    """What a peer must know of a relayed request, besides the request.

    Parameters
    ----------
    instance : str
        Instance that received the request from its caller.
    service : str
        Service chosen for it.
    time_left : float
        Seconds within which the response must be complete.
    version : str
        Software version of the targets that may run it; empty if all may.
    attempted_targets : tuple of str
        Targets to which it has been sent already.
    last_event_id : str or None
        Id of the event after which a stream goes on.
    """

    model_config = ConfigDict(frozen=True)

    instance: str = Field(min_length=1)
    service: str = Field(min_length=1)
    time_left: float = Field(gt=0.0, allow_inf_nan=False)
    version: str = ""
    attempted_targets: tuple[str, ...] = ()
    last_event_id: str | None = None

    @classmethod
    def parse(cls, text):
        """Return the terms in a header.

        Raises
        ------
        PeerError
            If they are missing or not valid.
        """
        try:
            return cls.model_validate_json(text or "")
        except ValidationError as error:
            raise PeerError(f"a relayed request has no valid terms: {error}") from error


def relay_outcome(head: ResponseHead):
    """Return the `Outcome` that a peer states in its response; None if it does not."""
    values = [value for name, value in head.headers if name == OUTCOME_HEADER]
    return next((outcome for outcome in Outcome if values == [outcome.value]), None)


def relay_attempts(head: ResponseHead):
    """Return the targets to which a peer sent a relayed request."""
    return [
        target
        for name, value in head.headers
        if name == ATTEMPTED_HEADER
        for target in value.split(",")
        if target
    ]


def without_relay_header(head: ResponseHead):
    """Return the head of a response without the header that is for this instance."""
    headers = tuple(pair for pair in head.headers if pair[0] != ATTEMPTED_HEADER)
    return replace(head, headers=headers)


class RelayPeers:
    """Chooses the peers through which requests of this instance are passed.

    Parameters
    ----------
    data_centre : str
        Where this instance runs.
    port : int
        Port on which peers accept relayed requests.
    peers : callable
        Returns the live `Peer`s of the fleet that are not leaving.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, data_centre, port, peers, clock):
        self.data_centre = data_centre
        self.port = port
        self.peers = peers
        self.clock = clock
        self._rng = random.Random()
        self._lock = threading.Lock()
        self._relays_by_instance: Counter = Counter()
        self._avoided_until: dict[tuple[str, str], float] = {}

    def url(self, peer):
        """Return the base URL at which a peer accepts requests."""
        return f"http://{peer.address}:{self.port}"

    def choose(self, service, tried):
        """Return the best peer for a request of a service, or None.

        Parameters
        ----------
        tried : set of str
            Instances that could not take it.
        """
        now = self.clock()
        candidates = [peer for peer in self.peers() if peer.instance not in tried]
        with self._lock:
            open_to = [
                peer
                for peer in candidates
                if self._avoided_until.get((peer.instance, service), now) <= now
            ]
            return min(open_to or candidates, key=self._cost, default=None)

    def _cost(self, peer):
        is_remote = peer.data_centre != self.data_centre
        relays = self._relays_by_instance[peer.instance]
        return relays + REMOTE_PENALTY_RELAYS * is_remote, self._rng.random()

    def avoid(self, peer, service):
        """Pass over a peer that could not take a request of a service."""
        with self._lock:
            self._avoided_until[peer.instance, service] = (
                self.clock() + AVOIDANCE_SECONDS
            )

    def record_start(self, peer):
        """Count a relay in progress."""
        with self._lock:
            self._relays_by_instance[peer.instance] += 1

    def record_end(self, peer):
        """Stop counting a relay."""
        with self._lock:
            self._relays_by_instance[peer.instance] -= 1
