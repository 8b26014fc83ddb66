"""Send reports and other messages to the peers that need them."""

import asyncio
import heapq
import threading
from dataclasses import dataclass
from functools import partial

import xxhash

from ..log import get_logger
from ..placement.allowance import Scope
from .members import Members

log = get_logger("fleet")

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


class Reporting(Members):
    """Sends the messages of one instance; see `GossipProtocol`."""

    def schedule_report(self, names=None):
        """Send the next report soon; safe from any thread.

        Parameters
        ----------
        names : set of str or None
            Instances that a change concerns; None stands for all coordinators in use.
            The others hear of it with the next report to all.
        """
        if names is None or names - {self.instance}:
            self._loop.call_soon_threadsafe(self._mark_report_due, names)

    def _mark_report_due(self, names=None):
        if names is None:
            self._is_report_to_all_due = True
        else:
            self._due_receivers |= names
        self._report_due.set()

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
        self._mark_report_due()

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

    async def _send_periodic_reports(self):
        """Send reports with shared state, sooner again after changes."""
        while True:
            self._record_running()
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
                self._record_running()

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
        """Report to coordinators on each change, and to all of them after a pause."""
        reported_to_all_at = float("-inf")
        pause = 0.0
        while True:
            now = self.clock()
            if self._is_report_to_all_due or now >= reported_to_all_at + pause:
                names, pause = self.exchange.report_receivers()
                reported_to_all_at = now
                self._is_report_to_all_due = False
            else:
                names = self._due_receivers - {self.instance}
                pause = self.exchange.next_report_seconds()
            self._due_receivers = set()
            self._send_reports(names)
            try:
                async with asyncio.timeout(reported_to_all_at + pause - self.clock()):
                    await self._report_due.wait()
            except TimeoutError:
                pass
            self._report_due.clear()
            self._report_rounds += 1

    def _send_reports(self, names):
        if self.exchange.has_moments():
            for name in names:
                self.send_to({name}, partial(self._report, receiver=name))
        else:
            self.send_to(names, self._report)

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
