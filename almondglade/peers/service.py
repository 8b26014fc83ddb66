"""gRPC service on the port for peers: links and calls from other instances."""

from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from .. import messages as m
from ..errors import PeerError
from ..log import get_logger
from . import auth
from .exchange import LINK_ERRORS, LinkEndpoint
from .link_grpc import PeersBase

log = get_logger("peers")


class PeerService(PeersBase):
    """Serves the links of entries that use a coordinator here, and calls of peers.

    Parameters
    ----------
    own, incarnation : str
        Id of this instance, and of this start of it.
    secret : str
        Secret shared by all instances.
    host : CoordinatorHost
        Coordinators that run in this instance.
    gossip : ConfigurationGossip
        State shared by all links.
    """

    def __init__(self, own, incarnation, secret, host, gossip):
        self.own = own
        self.incarnation = incarnation
        self.secret = secret
        self.host = host
        self.calls: Any = None
        self.gossip = gossip
        self.verifier = auth.Verifier(secret, own)
        self.endpoint_by_entry: dict[str, LinkEndpoint] = {}

    def authenticate(self, stream):
        """Return the credential of the calling instance.

        Raises
        ------
        GRPCError
            If the credential is invalid.
        """
        credential = self.verifier.verify(stream.metadata.get(auth.METADATA_KEY))
        if credential is None:
            raise GRPCError(Status.UNAUTHENTICATED, "the credential is not genuine")
        return credential

    async def Link(self, stream):
        """Exchange messages in both directions until the link fails."""
        credential = self.authenticate(stream)
        entry = credential.sender
        endpoint = LinkEndpoint(self.gossip, entry)
        proof = auth.prove(self.secret, self.own, credential.nonce)
        endpoint.outbox.put(
            m.Hello(self.own, self.incarnation, self.gossip.store.version, proof=proof)
        )
        self.endpoint_by_entry[entry] = endpoint
        self.host.attach(entry, endpoint.outbox.put)
        try:
            await endpoint.run(stream, self._read(stream, endpoint))
        except LINK_ERRORS as error:
            cause = str(error) or type(error).__name__
            log.info("link ended", entry=entry, cause=cause)
        finally:
            self.host.detach(entry, endpoint.outbox.put)
            if self.endpoint_by_entry.get(entry) is endpoint:
                del self.endpoint_by_entry[entry]

    async def _read(self, stream, endpoint):
        messages = await endpoint.receive(stream)
        hello = messages[0] if messages else None
        if not isinstance(hello, m.Hello) or hello.instance != endpoint.peer:
            raise PeerError(
                "the first message is no Hello from the authenticated instance"
            )
        log.info("link is up", entry=endpoint.peer)
        messages = messages[1:]
        while messages is not None:
            for message in messages:
                self._receive(endpoint, message)
            self.host.send_decisions()
            messages = await endpoint.receive(stream)

    def _receive(self, endpoint, message):
        if isinstance(message, m.Ping):
            self.host.receive_ping(endpoint.peer, message)
            endpoint.heartbeat_interval = message.interval
            endpoint.handle_message(message)
            endpoint.put_ping(message.sent_at)
        elif isinstance(message, m.Hello):
            raise PeerError("received a second Hello message")
        elif not endpoint.handle_message(message):
            self._forward_to_host(endpoint, message)

    def _forward_to_host(self, endpoint, message):
        self.host.receive(endpoint.peer, message)
        if isinstance(message, m.Join) and endpoint.latest_ping is not None:
            # Without it, grants would carry no heartbeat time until the next heartbeat.
            self.host.receive_ping(endpoint.peer, endpoint.latest_ping)

    async def Forward(self, stream):
        """Run a forwarded request whose idempotency key this instance holds."""
        credential = self.authenticate(stream)
        request = await stream.recv_message()
        reply = await self.calls.forward(credential.sender, request)
        await self._send_reply(stream, credential, reply)

    async def Claim(self, stream):
        """Vote on a claim to a caller-supplied idempotency key."""
        credential = self.authenticate(stream)
        request = await stream.recv_message()
        reply = self.calls.claim(credential.sender, request)
        await self._send_reply(stream, credential, reply)

    async def _send_reply(self, stream, credential, reply):
        reply.proof = auth.prove(self.secret, self.own, credential.nonce)
        await stream.send_message(reply)
