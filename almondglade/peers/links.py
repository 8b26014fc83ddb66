"""Links that this instance opens to other instances, with one task for each peer."""

import asyncio
import contextlib
from typing import Any

from grpclib.client import Channel
from grpclib.config import Configuration

from .. import messages as m
from ..errors import PeerError
from ..log import get_logger
from . import auth
from .exchange import (
    HEARTBEAT_SECONDS,
    IDLE_HEARTBEAT_SECONDS,
    LINK_ERRORS,
    RECEIVE_TIMEOUT_SECONDS,
    LinkEndpoint,
)
from .link_grpc import PeersStub

log = get_logger("links")

CONNECT_TIMEOUT_SECONDS = 0.5
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# After a failure, a link must have been up for this long before its peer is chosen as
# a coordinator again, since each change of the coordinator costs a wait for the lease.
MIN_STABLE_SECONDS = 2.0
# Limits the memory for received data that has not been read yet.
HTTP2_WINDOW_BYTES = 1 << 18
LINK_CONFIGURATION = Configuration(
    http2_connection_window_size=HTTP2_WINDOW_BYTES,
    http2_stream_window_size=HTTP2_WINDOW_BYTES,
)


class Link:
    """A link that this instance has opened to a peer.

    Parameters
    ----------
    table : LinkTable
        All links of this instance, with their shared state.
    peer : Instance
        Instance at the other end.
    """

    def __init__(self, table, peer):
        self.table = table
        self.peer = peer
        self.endpoint = LinkEndpoint(table.gossip, peer.name)
        self.up = False
        self.up_since = 0.0

    @property
    def outbox(self):
        """Messages that are queued for sending."""
        return self.endpoint.outbox

    async def run(self):
        """Connect, then exchange messages in both directions until the link fails."""
        channel = Channel(self.peer.address, self.peer.port, config=LINK_CONFIGURATION)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await channel.__connect__()
            nonce = auth.make_nonce()
            metadata = self.table.metadata(self.peer.name, nonce)
            async with PeersStub(channel).Link.open(metadata=metadata) as stream:
                await self._exchange_messages(stream, nonce)
        finally:
            self.up = False
            channel.close()

    async def _exchange_messages(self, stream, nonce):
        self.outbox.put(self.table.hello())
        self.endpoint.put_ping()
        self.endpoint.receive_timeout = RECEIVE_TIMEOUT_SECONDS
        await self.endpoint.run(stream, self._ping(), self._read(stream, nonce))

    async def _ping(self):
        while True:
            in_use = self.table.is_coordinator_in_use(self.peer.name)
            self.endpoint.heartbeat_interval = (
                HEARTBEAT_SECONDS if in_use else IDLE_HEARTBEAT_SECONDS
            )
            self.endpoint.put_ping()
            await asyncio.sleep(self.endpoint.heartbeat_interval)

    async def _read(self, stream, nonce):
        self._verify_hello(await self.endpoint.receive(stream), nonce)
        self.up = True
        self.up_since = self.table.clock()
        self.table.on_up(self.peer.name)
        while (messages := await self.endpoint.receive(stream)) is not None:
            for message in messages:
                if not self.endpoint.handle_message(message):
                    self.table.on_message(message)
        raise PeerError("the peer closed the link")

    def _verify_hello(self, messages, nonce):
        hello = messages[0] if messages else None
        if not isinstance(hello, m.Hello) or hello.instance != self.peer.name:
            raise PeerError("the instance at this address has another name")
        if not auth.is_valid_proof(
            self.table.secret, hello.instance, nonce, hello.proof
        ):
            raise PeerError("the peer does not hold the secret")
        for message in messages[1:]:
            self.endpoint.handle_message(message)


class LinkTable:
    """All links that this instance has opened.

    Parameters
    ----------
    own : str
        This instance's id.
    incarnation : str
        Identifies this start of the instance; changes with each start.
    secret : str
        Secret shared by all instances.
    membership : Membership
        Addresses of the peers.
    gossip : ConfigurationGossip
        State shared by all links.
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator
        Source of the random jitter of reconnections.
    """

    def __init__(self, own, incarnation, secret, membership, gossip, clock, rng):
        self.own = own
        self.incarnation = incarnation
        self.secret = secret
        self.membership = membership
        self.gossip = gossip
        self.clock = clock
        self.rng = rng
        self.by_peer: dict[str, Link] = {}
        self.broker: Any = None
        self._tasks: dict[str, asyncio.Task] = {}
        self._failures_by_peer: dict[str, int] = {}
        self._retry_at_by_peer: dict[str, float] = {}
        # Peers whose link failed after it had been up.
        self._lost_peers: set[str] = set()

    def hello(self):
        """Return the first message of a link."""
        return m.Hello(self.own, self.incarnation, self.gossip.store.version)

    def metadata(self, peer, nonce=None):
        """Return the gRPC metadata with the credential for one call to a peer."""
        return {auth.METADATA_KEY: auth.sign(self.secret, self.own, peer, nonce)}

    def open(self, name):
        """Open a link to a peer unless one exists."""
        if name in self._tasks or name == self.own:
            return
        link = Link(self, self.membership.by_name[name])
        self.by_peer[name] = link
        self._tasks[name] = asyncio.get_running_loop().create_task(
            self._run(name, link)
        )

    def reconcile(self, names):
        """Open the required links that do not exist, and close the others.

        A failed link is opened again after its backoff. The link to a peer whose list
        entry has changed is closed as well.

        Parameters
        ----------
        names : set of str
            Peers that need a link, apart from the coordinators in use.
        """
        now = self.clock()
        for name in names & self.membership.by_name.keys():
            if self._retry_at_by_peer.get(name, 0.0) <= now:
                self.open(name)
        for name, task in self._tasks.items():
            has_changed = self.membership.by_name.get(name) != self.by_peer[name].peer
            if has_changed or not (name in names or self.is_coordinator_in_use(name)):
                task.cancel()
        self._lost_peers &= self.membership.by_name.keys()
        for table in (self._failures_by_peer, self._retry_at_by_peer):
            for name in table.keys() - self.membership.by_name.keys():
                del table[name]

    async def _run(self, name, link):
        try:
            await link.run()
        except LINK_ERRORS as error:
            cause = str(error) or type(error).__name__
            log.warning("link failed", peer=name, cause=cause)
        except Exception:
            log.exception("link failed", peer=name)
        finally:
            self._on_link_end(name, link)

    def _on_link_end(self, name, link):
        self._tasks.pop(name, None)
        if self.by_peer.get(name) is link:
            del self.by_peer[name]
        now = self.clock()
        was_stable = link.up_since and now - link.up_since > MIN_STABLE_SECONDS
        if link.up_since:
            self._lost_peers.add(name)
        failures = 0 if was_stable else self._failures_by_peer.get(name, 0)
        self._failures_by_peer[name] = failures + 1
        backoff = min(MIN_BACKOFF_SECONDS * 2**failures, MAX_BACKOFF_SECONDS)
        self._retry_at_by_peer[name] = now + backoff * self.rng.uniform(0.5, 1.0)
        self.membership.suspect(name)
        self.gossip.freshness.record_unreachable(name)
        with contextlib.suppress(RuntimeError):
            self.broker.link_down(name)

    def is_coordinator_in_use(self, name):
        """Return whether a peer coordinates a pool for this instance."""
        return any(
            client.coordinator == name for client in self.broker.by_pool.values()
        )

    def is_up(self, name):
        """Return whether the link to a peer is up."""
        link = self.by_peer.get(name)
        return link is not None and link.up

    def is_stable(self, name):
        """Return whether the link to a peer is up and stable.

        After the failure of an earlier link, it must have been up for
        `MIN_STABLE_SECONDS`.
        """
        if not self.is_up(name):
            return False
        up_seconds = self.clock() - self.by_peer[name].up_since
        return name not in self._lost_peers or up_seconds >= MIN_STABLE_SECONDS

    def last_ping_sent_at(self, name):
        """Return the clock reading of the last heartbeat sent to a peer.

        Returns None without a link.
        """
        link = self.by_peer.get(name)
        return link.endpoint.last_ping_sent_at if link is not None else None

    def send(self, name, message):
        """Queue a message for a peer; it is dropped if the link is down."""
        if self.is_up(name):
            self.by_peer[name].outbox.put(message)

    def on_up(self, name):
        """Notify the broker that a link is up."""
        log.info("link is up", peer=name)
        self.broker.link_up(name)

    def on_message(self, message):
        """Pass a message of a coordinator to the broker."""
        self.broker.receive(message)

    async def close(self):
        """Close all links."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def snapshot(self):
        """Return the state of the links for the state dump."""
        return {name: {"up": link.up} for name, link in sorted(self.by_peer.items())}
