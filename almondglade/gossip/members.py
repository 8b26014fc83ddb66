"""Keep the list of the other instances by member lists."""

import asyncio
from dataclasses import dataclass
from typing import Any

from ..clocks import boottime_clock
from ..log import get_logger
from ..placement.coordination import InstanceInfo
from .codec import encode
from .messages import Member, MemberList
from .receipts import ReceiptTimes

log = get_logger("fleet")

# Fleet size up to which each instance reports to all others. In a larger fleet one
# relay per data centre forwards sums, as the messages of a full mesh grow with the
# square of the fleet size.
MAX_FULL_MESH_INSTANCES = 16
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


class Members:
    """The other instances of the fleet, as one instance knows them.

    See `GossipProtocol` for parameters and attributes.
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
        self.receipts = ReceiptTimes()
        self._transport: Any = None
        self._report_due = asyncio.Event()
        self._is_report_to_all_due = True
        self._due_receivers: set[str] = set()
        self._started_at = clock()
        self._sequence_number = 0
        self._report_rounds = 0
        self._grant_ack_timer: Any = None
        self._relay = ""
        self._relay_since = 0.0
        # Addresses of peers that knew no suspects when this instance started.
        self._started_peers: set[str] = set()
        self._loop = asyncio.get_running_loop()

    def _record_running(self):
        """Record that this instance runs, so that a pause of it is noticed."""
        self.receipts.record_running(self.clock(), boottime_clock())

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

    def _record_sender(self, address):
        peer = self.peer_by_address.get(address)
        if peer is None:
            peer = self.peer_by_address[address] = Peer(address, 0.0)
            self._is_report_to_all_due = True
            self._report_due.set()
        peer.heard_at = self.clock()
        return peer

    def _merge_member(self, member, sent_at):
        """Update a peer from an entry of another instance's member list.

        Parameters
        ----------
        member : Member
        sent_at : float
            Monotonic time at which the list was sent.
        """
        heard_at = sent_at - member.age
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

    async def _send_member_lists(self):
        while True:
            self._record_running()
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
