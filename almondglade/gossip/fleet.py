"""Track the other instances by gossip over UDP and exchange reports with them."""

import asyncio
import heapq
import threading
from dataclasses import dataclass
from functools import partial, singledispatchmethod
from typing import Any

import xxhash

from ..errors import PeerError
from ..log import get_logger
from ..placement.allowance import Scope
from ..placement.coordination import InstanceInfo
from .codec import decode, encode
from .messages import (
    Grants,
    Member,
    MemberList,
    NamedLimits,
    OriginQuery,
    OriginReport,
    Report,
    ReportRequest,
    StartNotice,
    SuspectReport,
)

log = get_logger("fleet")

# Fleet size up to which each instance reports to all others. In a larger fleet one
# relay per data centre forwards sums, as the messages of a full mesh grow with the
# square of the fleet size.
MAX_FULL_MESH_INSTANCES = 16
# Limit on the periodic reports of one instance, counted by receiver; the interval
# between them grows with the number of receivers to stay below it.
MAX_REPORTS_PER_SECOND = 120
# Shortest and longest interval between periodic reports; the longest applies while
# nothing changes.
MIN_REPORT_INTERVAL_SECONDS = 0.25
IDLE_REPORT_INTERVAL_SECONDS = 0.5
# Longest delay of the report that acknowledges a received grant; well below the time
# after which the grant expires.
GRANT_ACK_DELAY_SECONDS = 0.15
# Intervals between member lists, in a small and in a large fleet. A new instance is
# known everywhere after two of them, or after some rounds in a large fleet.
MEMBER_LIST_INTERVAL_SECONDS = 0.5
LARGE_FLEET_MEMBER_LIST_INTERVAL_SECONDS = 1.0
# Random peers that each member list is sent to, besides the seeds.
MEMBER_LIST_FANOUT = 2
# Time after its start in which an instance asks for all members; several member
# lists are sent in it.
JOIN_SECONDS = 3.0
# Keeps a member list within one packet.
MAX_MEMBERS_PER_LIST = 12
# Silence after which a peer counts as lost, and after which it is removed.
PEER_TIMEOUT_SECONDS = 1.5
PEER_REMOVAL_SECONDS = 30.0
# Silence after which a peer counts as lost in a large fleet, where most peers are known
# from member lists only, which need some rounds to reach all instances. A silent
# coordinator is replaced long before.
INDIRECT_PEER_TIMEOUT_SECONDS = 15.0
# A relay that was silent for this long is replaced: two report intervals and the
# network delay.
RELAY_TIMEOUT_SECONDS = 1.2


# Longest wait for a busy event loop to send what must be on its way before something
# else happens.
MAX_SEND_WAIT_SECONDS = 0.2


@dataclass(frozen=True)
class HolderCounts:
    """How many peers get a message that concerns one key.

    Parameters
    ----------
    full_mesh, large_fleet : int
        Peers in a small and in a large fleet.
    """

    full_mesh: int
    large_fleet: int


@dataclass
class Peer:
    """What is known of another instance.

    Attributes
    ----------
    heard_at : float
        Monotonic time at which it was last heard from, by this instance or, as far
        as member lists tell, by another one.
    instance : str
        Its name; empty while only its address is known.
    incarnation : int
        Incarnation of its newest report; 0 before the first one.
    sequence_number : int
        Sequence number of its newest report.
    lost : bool
        Whether it has timed out.
    reported_at : float
        Monotonic time at which its newest report arrived.
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
    """Membership of the fleet and messages to the peers of one instance.

    Parameters
    ----------
    settings : GatewaySettings
        This instance, its port, and the seed addresses, some of which may be stale.
    exchange : Exchange
        Makes reports and handles the messages of peers.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
        Chooses the receivers and the entries of member lists.

    Attributes
    ----------
    max_instances_seen : int
        Largest number of live instances at one time, including this one.
    reachable_share : float
        Share of the instances that are live, of all that have not announced their stop
        and were heard within `PEER_REMOVAL_SECONDS`.
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
        self.reachable_share = 1.0
        self._transport: Any = None
        self._report_due = asyncio.Event()
        self._started_at = clock()
        self._sequence_number = 0
        self._report_rounds = 0
        self._grant_ack_timer: Any = None
        self._relay = ""
        self._relay_since = 0.0
        # Addresses of peers that knew no suspects when this instance started.
        self._started_peers: set[str] = set()
        self._loop = asyncio.get_running_loop()

    async def run(self):
        """Send reports and member lists until cancelled."""
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.port)
        )
        try:
            await asyncio.gather(
                self._send_periodic_reports(),
                self._report_to_coordinators(),
                self._send_member_lists(),
            )
        finally:
            self._transport.close()

    def schedule_report(self):
        """Send the next report to the coordinators soon; safe from any thread."""
        self._loop.call_soon_threadsafe(self._report_due.set)

    def send_soon(self, names, message):
        """Schedule `send_to` for one message; safe from any thread."""
        self._loop.call_soon_threadsafe(self.send_to, names, lambda: message)

    def acknowledge_grants_soon(self):
        """Schedule a report that acknowledges the grants received since the last."""
        if self._grant_ack_timer is None:
            self._grant_ack_timer = self._loop.call_later(
                GRANT_ACK_DELAY_SECONDS, self._acknowledge_grants
            )

    def _acknowledge_grants(self):
        self._grant_ack_timer = None
        self._report_due.set()

    def send_report_to_all(self):
        """Send a report to all live peers, as for a change that concerns each."""
        self._send_to_all(self._report())

    def run_soon(self, callback, *args):
        """Run a callback on the thread of the event loop; safe from any thread."""
        self._loop.call_soon_threadsafe(callback, *args)

    def call_later(self, seconds, callback):
        """Schedule a callback on the event loop; call only from its thread."""
        self._loop.call_later(seconds, callback)

    def send_to_all_soon(self, message):
        """Send a message to all live peers; safe from any thread."""
        self._loop.call_soon_threadsafe(self._send_to_all, message)

    def send_to_holders_soon(self, key, message, counts):
        """Send a message to the peers that hold the facts of a key; from any thread.

        Parameters
        ----------
        key : str
            Peers are ranked by a hash of their names and this key, so that instances
            with the same members choose the same ones.
        counts : HolderCounts
            How many peers get the message.
        """
        self._loop.call_soon_threadsafe(self._send_to_holders, key, message, counts)

    def send_to_holders(self, key, message, counts):
        """Send a message like `send_to_holders_soon`; return once it is on its way.

        Call it from another thread than the event loop's, which may be busy: it is
        waited for, but no longer than `MAX_SEND_WAIT_SECONDS`.
        """
        sent = threading.Event()

        def send():
            self._send_to_holders(key, message, counts)
            sent.set()

        self._loop.call_soon_threadsafe(send)
        sent.wait(MAX_SEND_WAIT_SECONDS)

    def _send_to_holders(self, key, message, counts):
        count = counts.full_mesh if self.is_full_mesh() else counts.large_fleet
        peers = self.live_peers()
        if count < len(peers):
            peers = heapq.nlargest(
                count,
                peers,
                lambda peer: xxhash.xxh3_64_intdigest(
                    f"{peer.instance}\0{key}".encode()
                ),
            )
        self._send(message, [peer.address for peer in peers])

    def _send_to_all(self, message):
        self._send(message, [peer.address for peer in self.live_peers()])

    def live_peers(self):
        """Return the peers with a known name that have not timed out."""
        since = self.clock() - self._peer_timeout_seconds()
        return [
            peer
            for peer in list(self.peer_by_address.values())
            if peer.instance and peer.heard_at >= since
        ]

    def relay_candidates(self):
        """Return the live peers to which requests can be passed; from any thread."""
        return [peer for peer in self.live_peers() if not peer.leaving]

    def is_known_address(self, address):
        """Return whether an instance of the fleet has this IP address."""
        peer = self.peer_by_address.get(address)
        return peer is not None and bool(peer.instance)

    def is_full_mesh(self):
        """Return whether the fleet is small enough for each to report to all others."""
        return len(self.peer_by_address) < MAX_FULL_MESH_INSTANCES

    def _peer_timeout_seconds(self):
        return (
            PEER_TIMEOUT_SECONDS
            if self.is_full_mesh()
            else INDIRECT_PEER_TIMEOUT_SECONDS
        )

    def connection_made(self, transport):
        """Store the transport to send with."""
        self._transport = transport

    def error_received(self, exc):
        """Log that a datagram was not delivered; a timeout detects lost peers."""
        log.debug("datagram was not delivered", cause=str(exc))

    def datagram_received(self, data, addr):
        """Decode and handle one message."""
        try:
            message = decode(data)
        except PeerError as error:
            log.warning("dropped an invalid datagram", peer=addr[0], cause=str(error))
            return
        self._handle(message, self._record_sender(addr[0]))

    @singledispatchmethod
    def _handle(self, message, peer):
        raise TypeError(f"unknown message type: {message!r}")

    @_handle.register
    def _(self, message: Grants, peer):
        self.exchange.handle_grants(message)

    @_handle.register
    def _(self, message: ReportRequest, peer):
        self._send(self._report(), [peer.address])

    @_handle.register
    def _(self, message: StartNotice, peer):
        self._started_peers.add(peer.address)
        if self._started_peers.issuperset(self.seeds):
            self.exchange.suspects.record_no_informed_peer()

    @_handle.register
    def _(self, message: SuspectReport, peer):
        self.exchange.suspects.handle_report(message)

    @_handle.register
    def _(self, message: NamedLimits, peer):
        self.exchange.limits.handle_message(message)

    @_handle.register
    def _(self, message: OriginReport, peer):
        self.exchange.origins.handle_report(message)

    @_handle.register
    def _(self, message: OriginQuery, peer):
        report = self.exchange.origins.answer(message)
        if report is not None:
            self._send(report, [peer.address])

    @_handle.register
    def _(self, message: MemberList, peer):
        for member in message.members:
            if member.address != self.address:
                self._merge_member(member)
        if self._is_joining():
            # Its share of the retry budget depends on the number of instances.
            self._update_instances()
        if message.joining:
            live = self._live_by_recency()
            for start in range(0, len(live), MAX_MEMBERS_PER_LIST):
                chunk = live[start : start + MAX_MEMBERS_PER_LIST]
                self._send(self._member_list_of(chunk, joining=False), [peer.address])
            self._send_warnings(peer)

    @_handle.register
    def _(self, message: Report, peer):
        if not self._is_newer(message, peer):
            log.debug(
                "report ignored: it is older than the last one",
                peer=message.instance,
                incarnation=message.incarnation,
                last_incarnation=peer.incarnation,
                sequence_number=message.sequence_number,
            )
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
            self._update_instances()
        if is_new:
            log.info(
                "peer found",
                peer=message.instance,
                incarnation=message.incarnation,
                peers=len(self.live_peers()),
            )
            self._send_warnings(peer)
        self.exchange.handle_report(message)

    def _is_newer(self, report, peer):
        """Return whether a report is newer than the last one of a peer.

        A peer that starts again while its clock is set back has a lower incarnation
        than before. Reports of its former start have ended then.
        """
        if report.incarnation < peer.incarnation:
            return self.clock() - peer.reported_at > PEER_TIMEOUT_SECONDS
        return (report.incarnation, report.sequence_number) > (
            peer.incarnation,
            peer.sequence_number,
        )

    def _send_warnings(self, peer):
        """Tell a new peer the newest configuration, suspects and targets' limits.

        The configuration comes first, as the peer waits for the suspects.
        """
        for message in (
            self._report(Scope.OWN),
            *self.exchange.suspects.reports_for_new_peer(),
            *self.exchange.limits.messages(),
        ):
            self._send(message, [peer.address])

    def _record_sender(self, address):
        peer = self.peer_by_address.get(address)
        if peer is None:
            peer = self.peer_by_address[address] = Peer(address, 0.0)
            self._report_due.set()
        peer.heard_at = self.clock()
        return peer

    def _merge_member(self, member):
        """Update a peer from an entry of another instance's member list."""
        heard_at = self.clock() - member.age
        peer = self.peer_by_address.get(member.address)
        if peer is None:
            if member.age > INDIRECT_PEER_TIMEOUT_SECONDS:
                return
            peer = self.peer_by_address[member.address] = Peer(member.address, heard_at)
            if self.is_full_mesh():
                self._send(self._member_list(), [member.address])
        elif heard_at < peer.heard_at and peer.instance:
            return
        peer.heard_at = max(peer.heard_at, heard_at)
        peer.lost = peer.lost and self.clock() - heard_at > self._peer_timeout_seconds()
        if member.instance:
            peer.instance = member.instance
            peer.data_centre = member.data_centre
            peer.capacity = member.capacity
            peer.leaving = member.leaving

    def _update_instances(self):
        """Pass the live instances that are not leaving to the exchange."""
        live = [peer for peer in self.live_peers() if not peer.leaving]
        self.max_instances_seen = max(self.max_instances_seen, 1 + len(live))
        staying = [
            peer
            for peer in self.peer_by_address.values()
            if peer.instance and not peer.leaving
        ]
        self.reachable_share = (1 + len(live)) / (1 + len(staying))
        info_by_instance = {
            peer.instance: InstanceInfo(peer.data_centre, peer.capacity)
            for peer in live
        }
        self.exchange.set_instances(
            info_by_instance | {self.instance: self.info}, self.is_full_mesh()
        )

    async def _send_periodic_reports(self):
        """Send reports with shared state, sooner again after changes."""
        while True:
            rounds = self._report_rounds
            sent = (
                self._report_to_all()
                if self.is_full_mesh()
                else self._report_through_relay()
            )
            interval = max(MIN_REPORT_INTERVAL_SECONDS, sent / MAX_REPORTS_PER_SECOND)
            await asyncio.sleep(interval)
            idle_until = self.clock() + IDLE_REPORT_INTERVAL_SECONDS - interval
            while rounds == self._report_rounds and self.clock() < idle_until:
                await asyncio.sleep(MIN_REPORT_INTERVAL_SECONDS)

    def _report_to_all(self):
        """Report to all peers; return the number of messages."""
        addresses = [peer.address for peer in self._recent_peers()]
        self._send(self._report(Scope.OWN, with_stats=True), addresses)
        return len(addresses)

    def _report_through_relay(self):
        """Report to coordinators and the relay.

        Returns
        -------
        int
            Messages sent, without those to coordinators.
        """
        own_data_centre = self.info.data_centre
        relay = self.exchange.relay(own_data_centre)
        for name in self.exchange.coordinators_in_use() - {relay, self.instance}:
            self.send_to({name}, partial(self._report, None, name, with_stats=True))
        if relay == self.instance:
            return self._relay_shared_state(own_data_centre)
        self._check_relay(relay)
        self.send_to({relay}, lambda: self._report(Scope.OWN, relay, with_stats=True))
        return 1

    def _relay_shared_state(self, own_data_centre):
        """Forward sums to the own data centre and the other relays, as its relay.

        Returns
        -------
        int
            Messages sent.
        """
        peers = [
            peer for peer in self.live_peers() if peer.data_centre == own_data_centre
        ]
        for peer in peers:
            report = self._report(Scope.OTHERS, peer.instance)
            self._send(report, [peer.address])
        other_data_centres = {peer.data_centre for peer in self.live_peers()} - {
            own_data_centre
        }
        relays = {
            self.exchange.relay(data_centre) for data_centre in other_data_centres
        }
        self.send_to(relays, lambda: self._report(Scope.DATA_CENTRE))
        return len(peers) + len(relays)

    def _check_relay(self, name):
        """Mark the relay as unresponsive if it has sent no report for too long."""
        now = self.clock()
        if name != self._relay:
            self._relay, self._relay_since = name, now
        last_report_at = max(
            (
                peer.reported_at
                for peer in self.peer_by_address.values()
                if peer.instance == name
            ),
            default=float("-inf"),
        )
        if now - max(last_report_at, self._relay_since) > RELAY_TIMEOUT_SECONDS:
            log.warning(
                "relay silent", relay=name, silent=round(now - last_report_at, 2)
            )
            self.exchange.mark_unresponsive(name)

    async def _report_to_coordinators(self):
        """Report to coordinators on each change, and again after a pause."""
        while True:
            names, pause = self.exchange.report_receivers()
            if self.exchange.has_moments():
                for name in names:
                    self.send_to({name}, partial(self._report, receiver=name))
            else:
                self.send_to(names, self._report)
            try:
                async with asyncio.timeout(pause):
                    await self._report_due.wait()
            except TimeoutError:
                pass
            self._report_due.clear()
            self._report_rounds += 1

    def _report(self, scope=None, receiver="", with_stats=False):
        self._sequence_number += 1
        return self.exchange.make_report(
            self._sequence_number, scope, receiver, with_stats
        )

    def send_to(self, names, make_message):
        """Send a message to peers by name.

        Parameters
        ----------
        names : set of str
            Instances; those whose address is not known are skipped.
        make_message : callable
            Returns the message; called only if at least one address is known.
        """
        addresses = [
            peer.address
            for peer in self.peer_by_address.values()
            if peer.instance in names
        ]
        if addresses:
            self._send(make_message(), addresses)

    async def _send_member_lists(self):
        while True:
            self._expire_peers()
            self._update_instances()
            live = [peer.address for peer in self.live_peers()]
            chosen = self.rng.sample(live, min(MEMBER_LIST_FANOUT, len(live)))
            slow = not self._is_joining() and not self.is_full_mesh()
            missing = [seed for seed in self.seeds if seed not in live]
            if slow:
                # One seed per list is enough to find the other members after a
                # network partition.
                missing = self.rng.sample(missing, min(1, len(missing)))
            self._send(self._member_list(), {*chosen, *missing})
            for message in (
                *self.exchange.suspects.recent_reports(),
                *self.exchange.limits.messages(),
            ):
                self._send(message, chosen)
            pause = (
                LARGE_FLEET_MEMBER_LIST_INTERVAL_SECONDS
                if slow
                else MEMBER_LIST_INTERVAL_SECONDS
            )
            await asyncio.sleep(pause * self.rng.uniform(0.8, 1.2))

    def _live_by_recency(self):
        return sorted(self.live_peers(), key=lambda peer: -peer.heard_at)

    def _member_list(self):
        """Return the peers heard from last and a random sample of the others."""
        live = self._live_by_recency()
        newest, rest = (
            live[: MAX_MEMBERS_PER_LIST // 2],
            live[MAX_MEMBERS_PER_LIST // 2 :],
        )
        sample = self.rng.sample(
            rest, min(MAX_MEMBERS_PER_LIST - len(newest), len(rest))
        )
        return self._member_list_of((*newest, *sample), self._is_joining())

    def _is_joining(self):
        return self.clock() - self._started_at < JOIN_SECONDS

    def _member_list_of(self, peers, joining):
        now = self.clock()
        own = Member(
            self.address,
            self.instance,
            self.info.data_centre,
            self.info.capacity,
            leaving=self.exchange.leaving,
        )
        others = (
            Member(
                peer.address,
                peer.instance,
                peer.data_centre,
                peer.capacity,
                now - peer.heard_at,
                peer.leaving,
            )
            for peer in peers
        )
        return MemberList(self.instance, (own, *others), joining)

    def _recent_peers(self):
        now = self.clock()
        return [
            peer
            for peer in self.peer_by_address.values()
            if now - peer.heard_at <= PEER_REMOVAL_SECONDS
        ]

    def _expire_peers(self):
        now = self.clock()
        for address, peer in list(self.peer_by_address.items()):
            silence = now - peer.heard_at
            if (
                silence > self._peer_timeout_seconds()
                and peer.instance
                and not peer.lost
            ):
                peer.lost = True
                log.info("peer lost", peer=peer.instance, silent=round(silence, 2))
            if silence > PEER_REMOVAL_SECONDS:
                del self.peer_by_address[address]

    def _send(self, message, addresses):
        if self._transport is None:
            return
        data = encode(message)
        for address in addresses:
            self._transport.sendto(data, (address, self.port))
