"""The peers' port: links that other instances have opened to this one."""

import asyncio
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from .. import messages as m
from ..log import get_logger
from . import auth
from .codec import decode_batch, encode_batch
from .link_grpc import PeersBase
from .links import LINK_ERRORS, SILENCE_SECONDS, Outbox

log = get_logger("peers")


class PeerService(PeersBase):
    """Serves links from the entries that use a coordinator here.

    Parameters
    ----------
    secret : str
        Secret that all instances share.
    host : CoordinatorHost
        Coordinators that run here.
    store : ConfigurationStore
        Declared document in force.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, secret, host, store, clock):
        self.secret = secret
        self.host = host
        self.store = store
        self.clock = clock
        self.calls: Any = None
        self.outbox_by_entry: dict[str, Outbox] = {}

    def authenticate(self, stream):
        """Return the calling instance.

        Raises
        ------
        GRPCError
            If its credential is not genuine.
        """
        sender = auth.verify(self.secret, stream.metadata.get(auth.METADATA_KEY))
        if sender is None:
            raise GRPCError(Status.UNAUTHENTICATED, "the credential is not genuine")
        return sender

    async def Link(self, stream):
        """Carry messages both ways until the link fails."""
        entry = self.authenticate(stream)
        outbox = Outbox()
        self.outbox_by_entry[entry] = outbox
        self.host.attach(entry, outbox.put)
        writer = asyncio.create_task(self._write(stream, outbox))
        try:
            await self._read(stream, entry, outbox)
        except LINK_ERRORS as error:
            log.info("link ended", entry=entry, cause=str(error) or repr(error))
        finally:
            writer.cancel()
            self.host.detach(entry, outbox.put)
            if self.outbox_by_entry.get(entry) is outbox:
                del self.outbox_by_entry[entry]

    async def _write(self, stream, outbox):
        try:
            while True:
                await stream.send_message(encode_batch(await outbox.take()))
        except LINK_ERRORS as error:
            log.info("link cannot be written", cause=str(error) or repr(error))

    async def _read(self, stream, entry, outbox):
        while True:
            frame = await asyncio.wait_for(stream.recv_message(), SILENCE_SECONDS)
            if frame is None:
                return
            for message in decode_batch(frame):
                self._receive(entry, outbox, message)
            self.host.pump()

    def _receive(self, entry, outbox, message):
        match message:
            case m.Hello():
                log.info("link is up", entry=message.instance)
            case m.Ping():
                self.host.heard(entry, message)
                outbox.put(m.Ping(self.clock(), message.sent_at, self.store.version))
                update = self.store.update_for(message.configuration_version)
                if update is not None:
                    outbox.put(update)
            case m.ConfigurationUpdate():
                self.store.offer(message.version, message.document, "peer")
            case _:
                self.host.receive(entry, message)

    def announce(self, update):
        """Pass a new declared document on to all entries."""
        for outbox in self.outbox_by_entry.values():
            outbox.put(update)

    async def Forward(self, stream):
        """Run a request whose idempotency key is held here."""
        sender = self.authenticate(stream)
        request = await stream.recv_message()
        await stream.send_message(await self.calls.forward(sender, request))

    async def Claim(self, stream):
        """Vote on a claim to a caller's own idempotency key."""
        sender = self.authenticate(stream)
        request = await stream.recv_message()
        await stream.send_message(self.calls.claim(sender, request))
