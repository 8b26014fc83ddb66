"""Know the other instances and exchange reports with them."""

import asyncio
from dataclasses import dataclass
from functools import partial, singledispatchmethod
from typing import Any

from ..errors import PeerError
from ..log import get_logger
from ..placement.allowance import Scope
from ..placement.coordination import InstanceInfo
from .codec import decode, encode
from .messages import Contact, Grants, Report, ReportRequest, Roster

log = get_logger("fleet")

# Instances up to which each tells all others what it knows. In a larger fleet one
# instance of each data centre passes on sums, since messages to all would grow
# with the square of the fleet.
MAX_FULL_MESH_INSTANCES = 16
# Reports that one instance sends to the whole fleet a second at most, counted
# by receiver; sets the pause between them for the size of the fleet.
MAX_REPORTS_PER_SECOND = 120
# Shortest and longest pause between reports to the whole fleet, seconds.
MIN_REPORT_SECONDS = 0.25
IDLE_REPORT_SECONDS = 0.5
# A coordinator hears within this that a grant has arrived, well before the grant
# expires.
CONFIRM_SECONDS = 0.15
# Pause between rosters, and in a large fleet; a new instance is known everywhere
# after two, or after some rounds.
ROSTER_SECONDS = 0.5
LARGE_ROSTER_SECONDS = 1.0
# Peers that each roster goes to, besides the seeds.
ROSTER_FANOUT = 2
# An instance asks for all contacts for this long after its start; some rosters.
JOIN_SECONDS = 3.0
# Contacts in one roster, so that it fits into one packet.
ROSTER_CONTACTS = 12
# A peer that has been silent for this long is lost, and forgotten later.
LOST_SECONDS = 1.5
FORGOTTEN_SECONDS = 30.0
# The same where most peers are heard of by rosters alone, which take some rounds
# to reach everybody; a silent coordinator is passed over long before.
HEARSAY_LOST_SECONDS = 15.0
# A relay that is silent for this long is passed over: two reports and their way.
RELAY_SILENT_SECONDS = 1.2


@dataclass
class Peer:
    """Another instance.

    Attributes
    ----------
    heard_at : float
        Monotonic time of its last message, as far as is known here.
    """

    address: str
    heard_at: float
    instance: str = ""
    data_centre: str = ""
    capacity: float = 0.0
    incarnation: int = 0
    sequence_number: int = -1
    leaving: bool = False
    lost: bool = False
    reported_at: float = float("-inf")


class GossipProtocol(asyncio.DatagramProtocol):
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
        self.info = InstanceInfo(settings.data_centre, settings.capacity)
        self.seeds = tuple(
            seed for seed in settings.seed_addresses if seed != settings.address
        )
        self.exchange = exchange
        self.clock = clock
        self.rng = rng
        self.peer_by_address: dict[str, Peer] = {}
        self.max_instances_seen = 1
        self._transport: Any = None
        self._changed = asyncio.Event()
        self._started_at = clock()
        self._sequence_number = 0
        self._changes = 0
        self._confirmation: Any = None
        self._relay = ""
        self._relay_since = 0.0
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

    def schedule_report(self):
        """Let the next report go out soon; safe from any thread."""
        self._loop.call_soon_threadsafe(self._changed.set)

    def send_soon(self, names, message):
        """Send a message to peers by name; safe from any thread."""
        self._loop.call_soon_threadsafe(self.send_to, names, lambda: message)

    def acknowledge_grants_soon(self):
        """Let coordinators hear soon, but not at once, that grants have arrived."""
        if self._confirmation is None:
            self._confirmation = self._loop.call_later(CONFIRM_SECONDS, self._confirm)

    def _confirm(self):
        self._confirmation = None
        self._changed.set()

    def send_report_to_all(self):
        """Tell all peers of a change that concerns each of them."""
        self._send_to_all(self._report())

    def call_later(self, seconds, callback):
        """Call something in the loop's thread; only from that thread."""
        self._loop.call_later(seconds, callback)

    def send_to_all_soon(self, message):
        """Send a message to all live peers; safe from any thread."""
        self._loop.call_soon_threadsafe(self._send_to_all, message)

    def _send_to_all(self, message):
        self._send(message, [peer.address for peer in self.live_peers()])

    def live_peers(self):
        """Return the peers that have been heard lately."""
        since = self.clock() - self._lost_seconds()
        return [
            peer
            for peer in self.peer_by_address.values()
            if peer.instance and peer.heard_at >= since
        ]

    def is_full_mesh(self):
        """Tell whether each instance tells all others what it knows."""
        return len(self.peer_by_address) < MAX_FULL_MESH_INSTANCES

    def _lost_seconds(self):
        return LOST_SECONDS if self.is_full_mesh() else HEARSAY_LOST_SECONDS

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
        self._take(message, self._meet(addr[0]))

    @singledispatchmethod
    def _take(self, message, peer):
        raise TypeError(f"no such message: {message!r}")

    @_take.register
    def _(self, message: Grants, peer):
        self.exchange.handle_grants(message)

    @_take.register
    def _(self, message: ReportRequest, peer):
        self._send(self._report(), [peer.address])

    @_take.register
    def _(self, message: Roster, peer):
        for contact in message.contacts:
            if contact.address != self.address:
                self._hear_of(contact)
        if message.joining:
            live = self._live_by_age()
            for start in range(0, len(live), ROSTER_CONTACTS):
                part = live[start : start + ROSTER_CONTACTS]
                self._send(self._roster_of(part, joining=False), [peer.address])

    @_take.register
    def _(self, message: Report, peer):
        if (message.incarnation, message.sequence_number) <= (
            peer.incarnation,
            peer.sequence_number,
        ):
            return
        is_new = peer.incarnation != message.incarnation or peer.lost
        peer.lost = False
        peer.instance = message.instance
        peer.data_centre = message.data_centre
        peer.incarnation = message.incarnation
        peer.sequence_number = message.sequence_number
        peer.reported_at = peer.heard_at
        if is_new or peer.leaving != message.leaving:
            peer.leaving = message.leaving
            self._tell_instances()
        if is_new:
            log.info(
                "peer found",
                peer=message.instance,
                incarnation=message.incarnation,
                peers=len(self.live_peers()),
            )
        self.exchange.handle_report(message)

    def _meet(self, address):
        peer = self.peer_by_address.get(address)
        if peer is None:
            peer = self.peer_by_address[address] = Peer(address, 0.0)
            self._changed.set()
        peer.heard_at = self.clock()
        return peer

    def _hear_of(self, contact):
        """Note what another instance knows of a third."""
        heard_at = self.clock() - contact.age
        peer = self.peer_by_address.get(contact.address)
        if peer is None:
            if contact.age > HEARSAY_LOST_SECONDS:
                return
            peer = self.peer_by_address[contact.address] = Peer(
                contact.address, heard_at
            )
            if self.is_full_mesh():
                self._send(self._roster(), [contact.address])
        elif heard_at < peer.heard_at and peer.instance:
            return
        peer.heard_at = max(peer.heard_at, heard_at)
        peer.lost = peer.lost and self.clock() - heard_at > self._lost_seconds()
        if contact.instance:
            peer.instance = contact.instance
            peer.data_centre = contact.data_centre
            peer.capacity = contact.capacity
            peer.leaving = contact.leaving

    def _tell_instances(self):
        """Let the decisions know which instances there are."""
        live = [peer for peer in self.live_peers() if not peer.leaving]
        self.max_instances_seen = max(self.max_instances_seen, 1 + len(live))
        info_by_instance = {
            peer.instance: InstanceInfo(peer.data_centre, peer.capacity)
            for peer in live
        }
        self.exchange.set_instances(
            info_by_instance | {self.instance: self.info}, self.is_full_mesh()
        )

    async def _send_reports(self):
        """Tell what is known here, now and then."""
        while True:
            changes = self._changes
            count = (
                self._report_to_all()
                if self.is_full_mesh()
                else self._report_by_relays()
            )
            gap = max(MIN_REPORT_SECONDS, count / MAX_REPORTS_PER_SECOND)
            await asyncio.sleep(gap)
            idle = self.clock() + IDLE_REPORT_SECONDS - gap
            while changes == self._changes and self.clock() < idle:
                await asyncio.sleep(MIN_REPORT_SECONDS)

    def _report_to_all(self):
        addresses = [peer.address for peer in self._reachable()]
        self._send(self._report(Scope.OWN, with_stats=True), addresses)
        return len(addresses)

    def _report_by_relays(self):
        """Tell coordinators and the relay; return the number of messages."""
        near = self.info.data_centre
        relay = self.exchange.relay(near)
        for name in self.exchange.coordinators_in_use() - {relay, self.instance}:
            self.send_to({name}, partial(self._report, None, name, with_stats=True))
        if relay == self.instance:
            return self._relay_shared_state(near)
        self._review_relay(relay)
        self.send_to({relay}, lambda: self._report(Scope.OWN, relay, with_stats=True))
        return 1

    def _relay_shared_state(self, near):
        """As a relay, tell the own data centre and the other relays."""
        peers = [peer for peer in self.live_peers() if peer.data_centre == near]
        for peer in peers:
            report = self._report(Scope.OTHERS, peer.instance)
            self._send(report, [peer.address])
        far = {peer.data_centre for peer in self.live_peers()} - {near}
        relays = {self.exchange.relay(data_centre) for data_centre in far}
        self.send_to(relays, lambda: self._report(Scope.DATA_CENTRE))
        return len(peers) + len(relays)

    def _review_relay(self, name):
        """Pass the relay over if it is silent."""
        now = self.clock()
        if name != self._relay:
            self._relay, self._relay_since = name, now
        heard = max(
            (
                peer.reported_at
                for peer in self.peer_by_address.values()
                if peer.instance == name
            ),
            default=float("-inf"),
        )
        if now - max(heard, self._relay_since) > RELAY_SILENT_SECONDS:
            log.warning("relay silent", relay=name, silent=round(now - heard, 2))
            self.exchange.mark_unresponsive(name)

    async def _ask(self):
        """Tell the coordinators of each change at once, and while work waits."""
        while True:
            names, pause = self.exchange.report_receivers()
            self.send_to(names, self._report)
            try:
                async with asyncio.timeout(pause):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            self._changes += 1

    def _report(self, scope=None, receiver="", with_stats=False):
        self._sequence_number += 1
        return self.exchange.make_report(
            self._sequence_number, scope, receiver, with_stats
        )

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
            self._tell_instances()
            live = [peer.address for peer in self.live_peers()]
            chosen = self.rng.sample(live, min(ROSTER_FANOUT, len(live)))
            slow = not self._is_joining() and not self.is_full_mesh()
            missing = [seed for seed in self.seeds if seed not in live]
            if slow:
                # One at a time is enough to find the others after a partition.
                missing = self.rng.sample(missing, min(1, len(missing)))
            self._send(self._roster(), {*chosen, *missing})
            pause = LARGE_ROSTER_SECONDS if slow else ROSTER_SECONDS
            await asyncio.sleep(pause * self.rng.uniform(0.8, 1.2))

    def _live_by_age(self):
        return sorted(self.live_peers(), key=lambda peer: -peer.heard_at)

    def _roster(self):
        """Return the freshest contacts and some of the others."""
        live = self._live_by_age()
        fresh, rest = live[: ROSTER_CONTACTS // 2], live[ROSTER_CONTACTS // 2 :]
        sample = self.rng.sample(rest, min(ROSTER_CONTACTS - len(fresh), len(rest)))
        return self._roster_of((*fresh, *sample), self._is_joining())

    def _is_joining(self):
        return self.clock() - self._started_at < JOIN_SECONDS

    def _roster_of(self, peers, joining):
        now = self.clock()
        own = Contact(
            self.address,
            self.instance,
            self.info.data_centre,
            self.info.capacity,
            leaving=self.exchange.leaving,
        )
        others = (
            Contact(
                peer.address,
                peer.instance,
                peer.data_centre,
                peer.capacity,
                now - peer.heard_at,
                peer.leaving,
            )
            for peer in peers
        )
        return Roster(self.instance, (own, *others), joining)

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
            if silent > self._lost_seconds() and peer.instance and not peer.lost:
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
