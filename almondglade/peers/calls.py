"""Unary calls to other instances: forward a keyed request, ask for votes on a claim."""

import asyncio
import contextlib
from collections import OrderedDict

from grpclib.client import Channel
from grpclib.config import Configuration

from ..errors import PeerError
from ..keys.claiming import ClaimProposal
from ..keys.listing import Listing
from ..log import get_logger
from . import auth
from .callcodec import (
    decode_response,
    decode_vote,
    encode_claim,
    encode_request,
)
from .link_grpc import PeersStub
from .links import LINK_ERRORS

log = get_logger("calls")

CONNECT_TIMEOUT_SECONDS = 0.5
CLAIM_TIMEOUT_SECONDS = 1.0
# Added to the maximum wait and the total time limit of a service.
FORWARD_MARGIN_SECONDS = 5.0
# A call fails if its peer does not answer an HTTP/2 ping within the timeout.
KEEPALIVE_INTERVAL_SECONDS = 1.0
KEEPALIVE_TIMEOUT_SECONDS = 2.0
# An instance counts as gone if it was neither listed nor connected for this long.
GONE_AFTER_SECONDS = 60.0
MAX_TRACKED_ABSENCES = 1024
MAX_FORWARD_BYTES = 8 << 20

# No data is sent on a call while its request runs, so the pings must not depend on
# data.
CALL_CONFIGURATION = Configuration(
    _keepalive_time=KEEPALIVE_INTERVAL_SECONDS,
    _keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
    _keepalive_permit_without_calls=True,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=KEEPALIVE_INTERVAL_SECONDS / 2,
)


class PeerCalls:
    """Makes unary calls to other instances, from any worker thread.

    Each call opens its own connection, since an idle one may have been lost without an
    error.

    Parameters
    ----------
    own : Instance
        This instance.
    loop : asyncio.AbstractEventLoop
        Event loop in which the calls run.
    membership : Membership
        Addresses of the peers.
    links : LinkTable
        Provides the credentials, and the peers that this instance is connected to.
    service : PeerService
        Provides the peers that are connected to this instance.
    store : ConfigurationStore
        Holds the current configuration.
    """

    def __init__(self, own, loop, membership, links, service, store):
        self.own = own
        self.loop = loop
        self.membership = membership
        self.links = links
        self.service = service
        self.store = store
        self.listing = Listing(membership.clock)
        self._absent_since_by_name: OrderedDict = OrderedDict()

    def names(self):
        """Return the names of the other instances that are listed or connected.

        This instance's own name is included if it is listed at another address.
        """
        listed = dict(self.membership.by_name)
        names = {*listed, *self.service.endpoint_by_entry.copy()}
        names.update(n for n, link in self.links.by_peer.copy().items() if link.up)
        known = listed.get(self.own.name, self.own)
        if (known.address, known.port) == (self.own.address, self.own.port):
            names.discard(self.own.name)
        return names

    def read_list(self, read):
        """Read the list of instances with `read` and record the result in `listing`.

        Recorded are the time of the attempt, whether this instance is listed, and the
        revision of the list.
        """
        attempted_at = self.listing.record_attempt()
        response = read()
        own = (self.own.name, self.own.address, self.own.port)
        present = any((i.name, i.address, i.port) == own for i in response.value)
        self.listing.record_list(attempted_at, present, response.revision)
        return response

    def is_gone(self, name):
        """Return whether an instance has been absent for `GONE_AFTER_SECONDS`.

        An instance is absent if it is neither listed nor connected. This instance's own
        name, as of an earlier process, is gone at once.
        """
        if name in self.names():
            self._absent_since_by_name.pop(name, None)
            return False
        if name == self.own.name:
            return True
        now = self.membership.clock()
        since = self._absent_since_by_name.setdefault(name, now)
        while len(self._absent_since_by_name) > MAX_TRACKED_ABSENCES:
            with contextlib.suppress(KeyError):
                self._absent_since_by_name.popitem(last=False)
        return now - since > GONE_AFTER_SECONDS

    def forward(self, holder, request):
        """Forward a request to the holder of its idempotency key, which runs it.

        Raises
        ------
        RequestError
            If the holder replied with this error.
        PeerError
            If the holder did not reply. It may have received the request.
        """
        if len(request.body) > MAX_FORWARD_BYTES:
            raise PeerError("the body is too large to be forwarded")
        service = self.store.declarations.services[request.service]
        seconds = service.max_wait + service.limits.total + FORWARD_MARGIN_SECONDS
        message = encode_request(request, holder.incarnation)
        call = self._call(holder.instance, "Forward", message, seconds)
        return decode_response(self._run_in_loop(call))

    def claim(self, names, proposal: ClaimProposal):
        """Ask instances to accept a claim.

        Returns
        -------
        dict of str to ClaimVote
            The votes of the instances that replied in time, by instance.
        """
        return self._run_in_loop(self._claim_all(sorted(names), encode_claim(proposal)))

    def _run_in_loop(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    async def _claim_all(self, names, message):
        replies = await asyncio.gather(
            *(self._vote(name, message) for name in names), return_exceptions=True
        )
        return {
            name: vote
            for name, vote in zip(names, replies, strict=True)
            if not isinstance(vote, BaseException)
        }

    async def _vote(self, name, message):
        vote = decode_vote(
            await self._call(name, "Claim", message, CLAIM_TIMEOUT_SECONDS)
        )
        if vote.voter.instance != name:
            raise PeerError(f"{vote.voter.instance} answered in place of {name}")
        return vote

    async def _call(self, name, method, message, seconds):
        peer = self.membership.by_name.get(name)
        if peer is None:
            raise PeerError(f"{name} is not listed")
        channel = Channel(peer.address, peer.port, config=CALL_CONFIGURATION)
        try:
            await asyncio.wait_for(channel.__connect__(), CONNECT_TIMEOUT_SECONDS)
            nonce = auth.make_nonce()
            metadata = self.links.metadata(name, nonce)
            call = getattr(PeersStub(channel), method)
            reply = await call(message, timeout=seconds, metadata=metadata)
            if not auth.is_valid_proof(self.links.secret, name, nonce, reply.proof):
                raise PeerError("the reply carries no proof of the secret")
            return reply
        except LINK_ERRORS as error:
            raise PeerError(f"{name}: {error or error!r}") from error
        finally:
            channel.close()
