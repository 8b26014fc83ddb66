"""Track the other instances by gossip over UDP and exchange reports with them."""

import asyncio
from functools import singledispatchmethod

from ..errors import PeerError
from ..log import get_logger
from ..placement.allowance import Scope
from ..supervision import keep_running
from .codec import decode
from .members import (
    JOIN_SECONDS,
    MAX_FULL_MESH_INSTANCES,
    MAX_MEMBERS_PER_LIST,
    MEMBER_LIST_FANOUT,
    PEER_TIMEOUT_SECONDS,
    Peer,
)
from .messages import (
    Grants,
    MemberList,
    NamedLimits,
    OriginQuery,
    OriginReport,
    Report,
    ReportRequest,
    StartNotice,
    SuspectReport,
)
from .reporting import HolderCounts, Reporting

__all__ = (
    "JOIN_SECONDS",
    "MAX_FULL_MESH_INSTANCES",
    "MEMBER_LIST_FANOUT",
    "GossipProtocol",
    "HolderCounts",
    "Peer",
)

log = get_logger("fleet")

# Longest payload of a UDP datagram over IPv4, rounded up.
MAX_DATAGRAM_BYTES = 1 << 16


class GossipProtocol(Reporting, asyncio.DatagramProtocol):
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

    async def run(self):
        """Send reports and member lists until cancelled."""
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.port)
        )
        try:
            await asyncio.gather(
                keep_running("periodic reports", self._send_periodic_reports),
                keep_running("reports", self._report_to_coordinators),
                keep_running("member lists", self._send_member_lists),
            )
        finally:
            self._transport.close()

    def connection_made(self, transport):
        """Store the transport to send with."""
        # The event loop allocates as much for each datagram; its default is larger.
        transport.max_size = MAX_DATAGRAM_BYTES
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
        self._record_running()
        self._handle(message, self._record_sender(addr[0]))

    @singledispatchmethod
    def _handle(self, message, peer):
        raise TypeError(f"unknown message type: {message!r}")

    @_handle.register
    def _(self, message: Grants, peer):
        self.exchange.handle_grants(message, self._sent_at())

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
        self.exchange.suspects.handle_report(message, self._sent_at())

    @_handle.register
    def _(self, message: NamedLimits, peer):
        self.exchange.limits.handle_message(message, self._sent_at())

    @_handle.register
    def _(self, message: OriginReport, peer):
        self.exchange.origins.handle_report(message, self._sent_at())

    @_handle.register
    def _(self, message: OriginQuery, peer):
        report = self.exchange.origins.answer(message)
        if report is not None:
            self._send(report, [peer.address])

    @_handle.register
    def _(self, message: MemberList, peer):
        for member in message.members:
            if member.address != self.address:
                self._merge_member(member, self._sent_at())
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
        self.receipts.record_delay(self.exchange.handle_report(message))

    def _sent_at(self):
        """Return the monotonic time at which the ages in a message were true."""
        return self.receipts.sent_at(self.clock())

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
