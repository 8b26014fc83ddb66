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
# A peer that could not take a request of a service is passed over for this long, twice
# as long each time that it still cannot, up to the maximum.
AVOIDANCE_SECONDS = 1.0
MAX_AVOIDANCE_SECONDS = 8.0
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
        # Length in seconds and end of the time for which a peer is passed over.
        self._avoidance: dict[tuple[str, str], tuple[float, float]] = {}

    def url(self, peer):
        """Return the base URL at which a peer accepts requests."""
        return f"http://{peer.address}:{self.port}"

    def choose(self, service, tried, broken=frozenset()):
        """Return the best peer for a request of a service, or None.

        A whole data centre may have lost its links, so that those come last in which
        one could not take the request.

        Parameters
        ----------
        tried : set of str
            Instances that could not take it.
        broken : set of str
            Instances through which a run of it broke off. They may have ended, or the
            target has, so that they come after others that may take it.
        """
        now = self.clock()
        peers = self.peers()
        tried_data_centres = {
            peer.data_centre for peer in peers if peer.instance in tried
        }
        with self._lock:
            return min(
                (peer for peer in peers if peer.instance not in tried),
                key=lambda peer: (
                    self._is_avoided(peer, service, now),
                    peer.instance in broken,
                    peer.data_centre in tried_data_centres,
                    self._cost(peer),
                ),
                default=None,
            )

    def _is_avoided(self, peer, service, now):
        _, until = self._avoidance.get((peer.instance, service), (0.0, now))
        return now < until

    def _cost(self, peer):
        is_remote = peer.data_centre != self.data_centre
        relays = self._relays_by_instance[peer.instance]
        return relays + REMOTE_PENALTY_RELAYS * is_remote, self._rng.random()

    def avoid(self, peer, service):
        """Pass over a peer that could not take a request of a service."""
        key = (peer.instance, service)
        now = self.clock()
        with self._lock:
            seconds, until = self._avoidance.get(key, (0.0, now))
            if now >= until:
                seconds = min(
                    max(AVOIDANCE_SECONDS, 2 * seconds), MAX_AVOIDANCE_SECONDS
                )
                self._avoidance[key] = (seconds, now + seconds)

    def record_answer(self, peer, service):
        """Record that a peer has taken a request of a service."""
        with self._lock:
            self._avoidance.pop((peer.instance, service), None)

    def record_start(self, peer):
        """Count a relay in progress."""
        with self._lock:
            self._relays_by_instance[peer.instance] += 1

    def record_end(self, peer):
        """Stop counting a relay."""
        with self._lock:
            self._relays_by_instance[peer.instance] -= 1
