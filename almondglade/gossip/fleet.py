"""Know the other instances and exchange reports with them."""

import asyncio
from dataclasses import dataclass
from typing import Any

from ..errors import PeerError
from ..log import get_logger
from .messages import Grants, Roster, decode, encode

log = get_logger("fleet")

# Reports that one instance sends to the whole fleet a second at most, counted
# by receiver; sets the pause between them for the size of the fleet.
MAX_REPORTS_PER_SECOND = 120
# Shortest and longest pause between reports to the whole fleet, seconds.
MIN_REPORT_SECONDS = 0.25
IDLE_REPORT_SECONDS = 0.5
# A coordinator is asked again after this while requests wait, seconds.
ASK_AGAIN_SECONDS = 0.04
# Pause between rosters; a new instance is known everywhere after two.
ROSTER_SECONDS = 0.5
# Peers that each roster goes to, besides the seeds.
ROSTER_FANOUT = 2
# A peer that has been silent for this long is lost, and forgotten later.
LOST_SECONDS = 1.5
FORGOTTEN_SECONDS = 30.0


@dataclass
class Peer:
    """Another instance.

    Attributes
    ----------
    heard_at : float
        Monotonic time of its last message.
    """

    address: str
    heard_at: float
    instance: str = ""
    incarnation: int = 0
    number: int = -1
    leaving: bool = False
    lost: bool = False


class Fleet(asyncio.DatagramProtocol):
    """The peers of one instance.

    Parameters
    ----------
    settings : GatewaySettings
        This instance, its port, and the addresses to begin with, some of which
        may be stale.
    exchange : Exchange
        Makes reports and takes in what peers say.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
        Chooses the receivers of rosters.
    """

    def __init__(self, settings, exchange, clock, rng):
        self.instance = settings.instance
        self.address = settings.address
        self.port = settings.peer_port
        self.seeds = tuple(
            seed for seed in settings.seed_addresses if seed != settings.address
        )
        self.exchange = exchange
        self.clock = clock
        self.rng = rng
        self.peer_by_address: dict[str, Peer] = {}
        self.most_seen = 1
        self._transport: Any = None
        self._changed = asyncio.Event()
        self._number = 0
        self._changes = 0
        self._loop = asyncio.get_running_loop()

    async def run(self):
        """Send reports and rosters until cancelled."""
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.port)
        )
        try:
            await asyncio.gather(
                self._send_reports(), self._ask(), self._send_rosters()
            )
        finally:
            self._transport.close()

    def changed(self):
        """Let the next report go out soon; safe from any thread."""
        self._loop.call_soon_threadsafe(self._changed.set)

    def send_soon(self, names, message):
        """Send a message to peers by name; safe from any thread."""
        self._loop.call_soon_threadsafe(self.send_to, names, lambda: message)

    def live_peers(self):
        """Return the peers that have been heard lately."""
        now = self.clock()
        return [
            peer
            for peer in self.peer_by_address.values()
            if peer.instance and now - peer.heard_at <= LOST_SECONDS
        ]

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def error_received(self, exc):
        """Note that a peer could not be reached; silence tells the rest."""
        log.debug("a datagram was not delivered", cause=str(exc))

    def datagram_received(self, data, addr):
        """Take in one message."""
        try:
            message = decode(data)
        except PeerError as error:
            log.warning("a datagram was dropped", peer=addr[0], cause=str(error))
            return
        peer = self._meet(addr[0])
        if isinstance(message, Grants):
            self.exchange.take_grants(message)
            return
        if isinstance(message, Roster):
            for address in message.addresses:
                if address not in self.peer_by_address:
                    self._learn(address)
            return
        self._take_report(peer, message)

    def _take_report(self, peer, report):
        newer = (report.incarnation, report.number) > (peer.incarnation, peer.number)
        if not newer:
            return
        if peer.incarnation != report.incarnation or peer.lost:
            log.info(
                "peer found",
                peer=report.instance,
                incarnation=report.incarnation,
                peers=len(self.live_peers()),
            )
        peer.lost = False
        peer.instance = report.instance
        peer.incarnation = report.incarnation
        peer.number = report.number
        peer.leaving = report.leaving
        self.most_seen = max(self.most_seen, 1 + len(self.live_peers()))
        self.exchange.take_report(report)

    def _meet(self, address):
        peer = self.peer_by_address.get(address)
        if peer is None:
            peer = self.peer_by_address[address] = Peer(address, 0.0)
            self._changed.set()
        peer.heard_at = self.clock()
        return peer

    def _learn(self, address):
        """Note an address that another instance knows, and greet it."""
        if address != self.address:
            self.peer_by_address[address] = Peer(address, self.clock())
            self._send(Roster(self.instance, (self.address,)), [address])

    async def _send_reports(self):
        """Tell the whole fleet what runs here, now and then."""
        while True:
            addresses = [peer.address for peer in self._reachable()]
            changes = self._changes
            self._send(self._report(), addresses)
            gap = max(MIN_REPORT_SECONDS, len(addresses) / MAX_REPORTS_PER_SECOND)
            await asyncio.sleep(gap)
            idle = self.clock() + IDLE_REPORT_SECONDS - gap
            while changes == self._changes and self.clock() < idle:
                await asyncio.sleep(MIN_REPORT_SECONDS)

    async def _ask(self):
        """Tell the coordinators of each change at once, and while work waits."""
        while True:
            names, waiting = self.exchange.coordinators()
            self.send_to(names, self._report)
            try:
                async with asyncio.timeout(
                    ASK_AGAIN_SECONDS if waiting else IDLE_REPORT_SECONDS
                ):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            self._changes += 1

    def _report(self):
        self._number += 1
        return self.exchange.make_report(self._number)

    def send_to(self, names, make_message):
        """Send a message to peers by name.

        Parameters
        ----------
        make_message : callable
            Returns the message; called if one of them is known.
        """
        addresses = [
            peer.address
            for peer in self.peer_by_address.values()
            if peer.instance in names
        ]
        if addresses:
            self._send(make_message(), addresses)

    async def _send_rosters(self):
        while True:
            self._forget()
            live = [peer.address for peer in self.live_peers()]
            chosen = self.rng.sample(live, min(ROSTER_FANOUT, len(live)))
            missing = [seed for seed in self.seeds if seed not in live]
            self._send(
                Roster(self.instance, (self.address, *live)), {*chosen, *missing}
            )
            await asyncio.sleep(ROSTER_SECONDS * self.rng.uniform(0.8, 1.2))

    def _reachable(self):
        now = self.clock()
        return [
            peer
            for peer in self.peer_by_address.values()
            if now - peer.heard_at <= FORGOTTEN_SECONDS
        ]

    def _forget(self):
        now = self.clock()
        for address, peer in list(self.peer_by_address.items()):
            silent = now - peer.heard_at
            if silent > LOST_SECONDS and peer.instance and not peer.lost:
                peer.lost = True
                log.info("peer lost", peer=peer.instance, silent=round(silent, 2))
            if silent > FORGOTTEN_SECONDS:
                del self.peer_by_address[address]

    def _send(self, message, addresses):
        if self._transport is None:
            return
        data = encode(message)
        for address in addresses:
            self._transport.sendto(data, (address, self.port))
