"""Messages that both ends of a link exchange, whichever of them opened it."""

import asyncio

from google.protobuf.message import DecodeError
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from .. import messages as m
from ..errors import PeerError
from ..log import get_logger
from .codec import decode_batch, encode_batch
from .documents import Assembler, make_parts
from .outbox import Outbox

log = get_logger("links")

# For links to a coordinator in use; the duration of its lease requires this interval.
HEARTBEAT_SECONDS = 0.25
IDLE_HEARTBEAT_SECONDS = 0.5
# A link is closed if nothing is received for this many heartbeat intervals.
MAX_MISSED_HEARTBEATS = 4
# Maximum receive timeout, and the time limit for sending one frame.
MAX_LINK_TIMEOUT_SECONDS = 5.0
RECEIVE_TIMEOUT_SECONDS = MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS
# The document is requested again, from any peer, if it has not arrived by then.
DOCUMENT_REQUEST_TIMEOUT_SECONDS = 1.0

LINK_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    DecodeError,
    PeerError,
    OSError,
    TimeoutError,
    ConnectionError,
)


class ConfigurationGossip:
    """Heartbeats and configuration documents, exchanged with all peers.

    Parameters
    ----------
    store : ConfigurationStore
        Holds the current configuration document.
    freshness : ConfigurationFreshness
        Evidence that this document is the newest.
    membership : Membership
        Records which peers are about to stop.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, store, freshness, membership, clock):
        self.store = store
        self.freshness = freshness
        self.membership = membership
        self.clock = clock
        self.leaving = False
        self.endpoints: set[LinkEndpoint] = set()
        self._no_request_until = 0.0
        store.subscribe(self.send_ping_to_all)

    def send_ping_to_all(self, _update=None):
        """Send a heartbeat on every link immediately."""
        for endpoint in self.endpoints:
            endpoint.put_ping()

    def make_ping(self, echo, heartbeat_interval):
        """Return a heartbeat with the present state of this instance."""
        return m.Ping(
            self.clock(),
            echo,
            self.store.version,
            self.freshness.confirmed_age,
            self.freshness.majority_age,
            self.leaving,
            heartbeat_interval,
        )

    def should_request(self, version):
        """Return whether to request a version from the peer that reported it."""
        now = self.clock()
        known = max(self.store.version, self.store.rejected_version)
        if version <= known or now < self._no_request_until:
            return False
        self._no_request_until = now + DOCUMENT_REQUEST_TIMEOUT_SECONDS
        return True

    async def offer(self, update):
        """Offer a complete document to the store.

        If it is accepted, a heartbeat reports its version to all peers.
        """
        await self.store.offer_in_thread(update.version, update.document, "peer")
        self._no_request_until = 0.0


class LinkEndpoint:
    """One end of a link.

    Parameters
    ----------
    gossip : ConfigurationGossip
        State shared by all links.
    peer : str
        Instance at the other end.
    """

    def __init__(self, gossip, peer):
        self.gossip = gossip
        self.peer = peer
        self.outbox = Outbox()
        self.last_ping_sent_at = gossip.clock()
        self.latest_peer_sent_at = 0.0
        self.latest_ping: m.Ping | None = None
        self.heartbeat_interval = IDLE_HEARTBEAT_SECONDS
        self.receive_timeout = MAX_LINK_TIMEOUT_SECONDS
        self._assembler = Assembler()
        self._offer_task: asyncio.Task | None = None

    async def run(self, stream, *jobs):
        """Send messages and run the other jobs until the first of them ends.

        Raises
        ------
        PeerError
            If the link has failed.
        """
        self.gossip.endpoints.add(self)
        tasks = [
            asyncio.ensure_future(job) for job in (self._send_frames(stream), *jobs)
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        except (GRPCError, ProtocolError, StreamTerminatedError) as error:
            # grpclib would otherwise wait for a stream that has already ended.
            raise PeerError(f"the link failed: {error}") from error
        finally:
            self.gossip.endpoints.discard(self)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_frames(self, stream):
        while True:
            frame = encode_batch(await self.outbox.take())
            # asyncio.wait_for can swallow a cancellation; asyncio.timeout cannot.
            async with asyncio.timeout(MAX_LINK_TIMEOUT_SECONDS):
                await stream.send_message(frame)

    async def receive(self, stream):
        """Return the messages of the next frame, or None at the end of the stream."""
        async with asyncio.timeout(self.receive_timeout):
            frame = await stream.recv_message()
        return None if frame is None else decode_batch(frame)

    def put_ping(self, echo=None):
        """Queue a heartbeat; `echo` is the latest received ``sent_at`` by default."""
        self.last_ping_sent_at = self.gossip.clock()
        echo = self.latest_peer_sent_at if echo is None else echo
        self.outbox.put(self.gossip.make_ping(echo, self.heartbeat_interval))

    def handle_message(self, message):
        """Handle a heartbeat or a message about the configuration.

        Returns
        -------
        bool
            False if it is another kind of message, which the caller must handle.
        """
        match message:
            case m.Ping():
                self._handle_ping(message)
            case m.ConfigurationRequest():
                self._send_document(message.version)
            case m.ConfigurationPart():
                self._handle_part(message)
            case m.ConfigurationUpdate():
                self._offer_document(message)
            case _:
                return False
        return True

    def _handle_ping(self, ping):
        gossip = self.gossip
        self.latest_peer_sent_at = ping.sent_at
        self.latest_ping = ping
        if ping.interval:
            self.receive_timeout = min(
                MAX_MISSED_HEARTBEATS * ping.interval, MAX_LINK_TIMEOUT_SECONDS
            )
        gossip.freshness.record_ping(self.peer, ping)
        gossip.membership.set_leaving(self.peer, ping.leaving)
        if gossip.should_request(ping.configuration_version):
            self.outbox.put(m.ConfigurationRequest(gossip.store.version))

    def _send_document(self, held_version):
        store = self.gossip.store
        base = store.recent_document(held_version)
        if store.version <= held_version:
            return
        base_version = 0 if base is None else held_version
        self.outbox.replace_parts(
            make_parts(store.version, store.document, base_version, base or b"")
        )

    def _handle_part(self, part):
        base = self.gossip.store.recent_document(part.base_version)
        update = self._assembler.add(part, base)
        if update is not None:
            self._offer_document(update)

    def _offer_document(self, update):
        # The event loop holds only a weak reference to a task.
        self._offer_task = asyncio.ensure_future(self.gossip.offer(update))
