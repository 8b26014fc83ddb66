"""Construct the components that an instance needs for idempotency keys."""

from ..peers.callhandlers import CallHandlers
from ..peers.calls import PeerCalls
from .claiming import Claimant, Voter
from .claims import ClaimTable
from .codec import Holder, KeyCodec
from .scheduling import KeyedScheduler
from .table import KeyTable


def assemble_keys(node):
    """Return the `KeyedScheduler` and the `CallHandlers` of a node.

    The handlers are also registered with the node's peer service.
    """
    settings, clock = node.settings, node.clock
    own = Holder(settings.instance, node.incarnation)
    calls = PeerCalls(
        node.membership.own,
        node.loop,
        node.membership,
        node.links,
        node.peers,
        node.store,
    )
    voter = Voter(ClaimTable(own, clock, settings.own_key_window), calls)
    keyed = KeyedScheduler(
        node.scheduler,
        KeyCodec(settings.peer_secret, own, clock),
        KeyTable(clock),
        Claimant(voter, calls, settings.list_lag),
        calls,
    )
    handlers = CallHandlers(keyed, voter, node.store, lambda: node.app.stopping)
    node.peers.calls = handlers
    return keyed, handlers
