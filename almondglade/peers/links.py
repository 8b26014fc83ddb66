"""Links to coordinators on other instances: one task for each peer."""

import asyncio
import contextlib
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from .. import messages as m
from ..errors import PeerError
from ..log import get_logger
from . import auth
from .codec import decode_batch, encode_batch
from .link_grpc import PeersStub

log = get_logger("links")

HEARTBEAT_SECONDS = 0.25
# A link on which nothing arrives for this long is given up.
SILENCE_SECONDS = 1.0
CONNECT_SECONDS = 0.5
AVOID_SECONDS = 2.0

LINK_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    PeerError,
    OSError,
    TimeoutError,
    ConnectionError,
)


class Outbox:
    """Messages that wait to be sent together."""

    def __init__(self):
        self._messages = []
        self._ready = asyncio.Event()

    def put(self, message):
        """Add a message to the next frame."""
        self._messages.append(message)
        self._ready.set()

    async def take(self):
        """Wait for messages and return all of them."""
        await self._ready.wait()
        self._ready.clear()
        messages, self._messages = self._messages, []
        return messages


class Link:
    """A link that this instance has opened to a peer.

    Parameters
    ----------
    table : LinkTable
        Shared parts of all links.
    peer : Instance
        Where it leads.
    """

    def __init__(self, table, peer):
        self.table = table
        self.peer = peer
        self.outbox = Outbox()
        self.up = False
        self.last_ping = table.clock()
        self.last_heard = 0.0

    async def run(self):
        """Connect, then carry messages both ways until the link fails."""
        channel = Channel(self.peer.address, self.peer.port)
        try:
            await asyncio.wait_for(channel.__connect__(), CONNECT_SECONDS)
            stub = PeersStub(channel)
            async with stub.Link.open(metadata=self.table.metadata()) as stream:
                await self._carry(stream)
        except LINK_ERRORS as error:
            log.warning(
                "link failed", peer=self.peer.name, cause=str(error) or repr(error)
            )
        finally:
            self.up = False
            channel.close()

    async def _carry(self, stream):
        await stream.send_message(encode_batch([self.table.hello()]))
        self.up = True
        self.table.on_up(self.peer.name)
        async with asyncio.TaskGroup() as group:
            writer = group.create_task(self._write(stream))
            pinger = group.create_task(self._ping())
            try:
                await self._read(stream)
            finally:
                writer.cancel()
                pinger.cancel()

    async def _write(self, stream):
        while True:
            messages = await self.outbox.take()
            await stream.send_message(encode_batch(messages))

    async def _ping(self):
        while True:
            now = self.table.clock()
            self.last_ping = now
            self.outbox.put(m.Ping(now, self.last_heard, self.table.store.version))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _read(self, stream):
        while True:
            frame = await asyncio.wait_for(stream.recv_message(), SILENCE_SECONDS)
            if frame is None:
                raise PeerError("the peer ended the link")
            for message in decode_batch(frame):
                self._receive(message)

    def _receive(self, message):
        match message:
            case m.Ping():
                self.last_heard = message.sent_at
                update = self.table.store.update_for(message.configuration_version)
                if update is not None:
                    self.outbox.put(update)
            case m.ConfigurationUpdate():
                self.table.store.offer(message.version, message.document, "peer")
            case _:
                self.table.on_message(message)


class LinkTable:
    """All links that this instance has opened.

    Parameters
    ----------
    own : str
        This instance's id.
    incarnation : str
        Changes with each start.
    secret : str
        Secret that all instances share.
    membership : Membership
        Where the peers are.
    store : ConfigurationStore
        Declared document in force.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, own, incarnation, secret, membership, store, clock):
        self.own = own
        self.incarnation = incarnation
        self.secret = secret
        self.membership = membership
        self.store = store
        self.clock = clock
        self.by_peer: dict[str, Link] = {}
        self.broker: Any = None
        self._tasks: dict[str, asyncio.Task] = {}

    def hello(self):
        """Return the first message of a link."""
        return m.Hello(self.own, self.incarnation, self.store.version)

    def metadata(self):
        """Return the credential sent with each call."""
        return {auth.METADATA_KEY: auth.sign(self.secret, self.own)}

    def open(self, name):
        """Start a link to a peer unless there is one."""
        if name in self._tasks:
            return
        link = Link(self, self.membership.by_name[name])
        self.by_peer[name] = link
        self._tasks[name] = asyncio.get_running_loop().create_task(
            self._run(name, link)
        )

    async def _run(self, name, link):
        try:
            await link.run()
        finally:
            self._tasks.pop(name, None)
            self.membership.avoid(name, AVOID_SECONDS)
            with contextlib.suppress(RuntimeError):
                self.broker.link_down(name)

    def is_up(self, name):
        """Tell whether a link carries messages."""
        link = self.by_peer.get(name)
        return link is not None and link.up

    def last_ping(self, name):
        """Return when the last heartbeat was sent to a peer."""
        link = self.by_peer.get(name)
        return link.last_ping if link is not None else None

    def send(self, name, message):
        """Send a message to a peer; it is lost if the link is down."""
        if self.is_up(name):
            self.by_peer[name].outbox.put(message)

    def on_up(self, name):
        """Tell the broker that a link carries messages."""
        log.info("link is up", peer=name)
        self.broker.link_up(name)

    def on_message(self, message):
        """Pass a coordinator's message to the broker."""
        self.broker.receive(message)

    def announce(self, update):
        """Pass a new declared document on to all peers."""
        for link in self.by_peer.values():
            if link.up:
                link.outbox.put(update)

    async def close(self):
        """End all links."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def snapshot(self):
        """Return the links for the dump."""
        return {name: {"up": link.up} for name, link in sorted(self.by_peer.items())}
