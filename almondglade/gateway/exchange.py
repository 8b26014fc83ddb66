"""Exchange reports and grants of slots with the other gateways."""

from typing import Any

from ..clocks import boottime_clock
from ..gossip.messages import (
    Grant,
    Grants,
    Report,
    ReportRequest,
)
from ..gossip.peerclocks import PeerClocks
from ..log import get_logger
from ..placement.cells import Cell
from ..placement.fleetload import GRANT_EXPIRY_SECONDS
from ..placement.outlook import RecentWaits, TierWaits
from ..placement.places import PeerLoad
from .returnreports import recognise_returns, told_returns
from .sharedstates import SharedStateExchange
from .waitingreports import expected_waits, tickets_from, waiting_request

log = get_logger("exchange")

# A coordinator of a large fleet makes one decision for all reports that arrive within
# this time; a decision takes about a quarter of it while hundreds of requests wait.
BATCH_SECONDS = 0.004


class Exchange(SharedStateExchange):
    """Makes messages to peers from the scheduling state, and applies theirs to it.

    Parameters
    ----------
    settings : GatewaySettings
        Name and data centre of this instance.
    incarnation : int
        Unix milliseconds of this instance's start.
    lock : threading.Lock
        Guards the scheduling state.
    pools : Pools
        Slots of targets and waiting requests.
    allowances : SharedAllowances
        Token buckets of the workspaces.
    freshness : Freshness
        Evidence of how recent the configuration is.
    registry : Registry
        What was read of the store.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    gossip : GossipProtocol
        Sends the messages; set after it has been created.
    match : callable
        Assigns free slots to waiting requests and returns the peers that got some;
        set after the scheduler has been created.
    suspects : SuspectTracker
        Tracks the requests that may crash targets; set after it has been created.
    origins : OriginTracker
        Tracks which versions began streams; set after it has been created.
    limits : LimitTracker
        Tracks the limits that targets name; set after it has been created.
    peer_states : PeerStateReader
        Reads the published state from peers; set after it has been created.
    leaving : bool
        Whether this instance is about to stop.
    """

    def __init__(
        self, settings, incarnation, lock, pools, allowances, freshness, registry, clock
    ):
        super().__init__(settings, pools, allowances, freshness, registry)
        self.incarnation = incarnation
        self.lock = lock
        self.clock = clock
        self.leaving = False
        self.gossip: Any = None
        self.suspects: Any = None
        self.origins: Any = None
        self.limits: Any = None
        self.match: Any = set
        self._last_receivers: set[str] = set()
        self._incarnation_by_peer: dict[str, int] = {}
        self._load_by_requester: dict[str, PeerLoad] = {}
        self._is_batch_scheduled = False
        self._recent_waits = RecentWaits()
        self._peer_clocks = PeerClocks()
        pools.on_new_term = self._request_reports

    def make_report(self, sequence_number, scope=None, receiver="", with_stats=False):
        """Return a `Report` of the current state.

        Parameters
        ----------
        sequence_number : int
            Sequence number of the report.
        scope : Scope or None
            Instances whose consumption the shared state includes; None leaves the
            shared state out.
        receiver : str
            Peer that gets the report, if it is for one peer only. Only such a report
            tells what targets say of their load.
        with_stats : bool
            Whether to include recent results of targets; a single receiver gets those
            of the targets that it coordinates.
        """
        sent_at = boottime_clock()
        now = self.clock()
        with self.lock:
            shared_state = (
                self._shared_state(scope, receiver, now) if scope is not None else None
            )
            return Report(
                self.settings.instance,
                self.settings.data_centre,
                self.incarnation,
                sequence_number,
                self.leaving,
                self.pools.running_here(),
                tuple(
                    waiting_request(ticket, now) for ticket in self.pools.waiting_here()
                ),
                dict(self.pools.latest_grant_by_coordinator),
                tuple(self.pools.targets.paused_here(now)),
                shared_state,
                self.pools.stats_here(now, receiver) if with_stats else None,
                self.pools.isolated_here(),
                told_returns(self.pools.returns, now),
                sent_at,
                self._moments_for(receiver, now),
                dict(self.pools.balances.arrivals_by_service),
            )

    def _moments_for(self, receiver, now):
        return self.pools.moments.take_shares(
            receiver,
            lambda state: receiver in self.pools.coordinators_of(state.record, now),
            now,
        )

    def has_moments(self):
        """Return whether a target has lately said how fast it is at this moment."""
        with self.lock:
            return self.pools.moments.shares.is_any_due(self.clock())

    def report_receivers(self):
        """Return the coordinators to report to, and when to report again.

        The receivers of the previous report are included once more, so that they
        learn of the end of the requests in their cells.

        Returns
        -------
        names : set of str
            Coordinators, without this instance.
        pause : float
            Seconds until the next report if nothing changes before.
        """
        now = self.clock()
        with self.lock:
            names = self.pools.coordinators_in_use(now).union(
                *(
                    self.pools.coordinators_of_service(service, now)
                    for service in self.pools.returns.told_services(now)
                )
            )
            pause = self.pools.next_report_seconds()
        receivers, self._last_receivers = names | self._last_receivers, names
        return receivers - {self.settings.instance}, pause

    def next_report_seconds(self):
        """Return the seconds from one report to all coordinators to the next."""
        with self.lock:
            return self.pools.next_report_seconds()

    def coordinators_in_use(self):
        """Return the coordinators that must know the requests of this instance."""
        with self.lock:
            return self.pools.coordinators_in_use(self.clock())

    def relay(self, data_centre):
        """Return the instance that relays the shared state of a data centre."""
        with self.lock:
            return self.pools.coordinators.choose("", self.clock(), data_centre)

    def mark_unresponsive(self, name):
        """Exclude an unresponsive instance as coordinator and relay for a while."""
        with self.lock:
            self.pools.coordinators.mark_unresponsive(name, self.clock())

    def set_instances(self, info_by_instance, is_full_mesh):
        """Replace the list of live instances.

        Parameters
        ----------
        info_by_instance : dict of str to InstanceInfo
            Live instances that are not leaving.
        is_full_mesh : bool
            Whether each instance reports to all others.
        """
        with self.lock:
            self.pools.is_full_mesh = is_full_mesh
            self.pools.coordinators.set_instances(
                sorted(info_by_instance), info_by_instance
            )

    def _request_reports(self):
        """Request a report from all peers; the caller must hold the lock."""
        log.info("started coordinating a cell", instance=self.settings.instance)
        self.gossip.send_to_all_soon(ReportRequest(self.settings.instance))

    def handle_report(self, report):
        """Apply a peer's `Report` and answer its requests for slots.

        In a large fleet the answers to several reports are sent together.

        Returns
        -------
        float or None
            Seconds for which the report was delayed; None if that is not known.
        """
        now, read_at = self.clock(), boottime_clock()
        delay = self._peer_clocks.delay(
            report.instance, report.incarnation, report.sent_at, read_at
        )
        # What was said at an unknown time confirms nothing.
        said_at = float("-inf") if delay is None else read_at - delay
        load_at = now - (delay or 0.0)
        own = self.settings.instance
        load = PeerLoad(
            load_at,
            report.running_by_target,
            tuple(tickets_from(report, load_at)),
            report.latest_grant_by_coordinator.get(own, 0),
            frozenset(report.paused_targets),
            report.stats_by_target,
            report.isolated_by_target,
        )
        requested_cells = {
            ticket.cell for ticket in load.tickets if ticket.coordinator == own
        }
        with self.lock:
            self._note_incarnation(report)
            recognise_returns(self.pools.returns, report, load.tickets, now)
            self.pools.fleet.update(report.instance, load)
            self.pools.moments.record_shared(report.moments, now)
            self.pools.record_arrivals(
                report.instance,
                report.data_centre,
                report.arrivals_by_service,
                load_at,
            )
            if report.shared_state is not None:
                self._apply_shared_state(report, report.shared_state, now, said_at)
            for cell in requested_cells:
                self.pools.record_slot_request(cell, now)
            if requested_cells:
                self._load_by_requester[report.instance] = load
            if self.pools.is_full_mesh:
                self._answer_requesters()
                return delay
        if not self._is_batch_scheduled:
            self._is_batch_scheduled = True
            self.gossip.call_later(BATCH_SECONDS, self._answer_batch)
        return delay

    def _note_incarnation(self, report):
        """Forget what concerned a peer's former start if it has started again.

        The numbers of its grants follow its clock, which may have been set back. Its
        requests have ended, and so have the slots that were granted to them.
        """
        former = self._incarnation_by_peer.get(report.instance)
        self._incarnation_by_peer[report.instance] = report.incarnation
        if former not in (None, report.incarnation):
            self.pools.latest_grant_by_coordinator.pop(report.instance, None)
            self.pools.returns.forget(report.instance)
            self.pools.fleet.forget(report.instance)
            log.info(
                "peer has started again",
                peer=report.instance,
                incarnation=report.incarnation,
                former=former,
            )

    def _answer_batch(self):
        self._is_batch_scheduled = False
        with self.lock:
            self._answer_requesters()

    def _answer_requesters(self):
        """Assign free slots and answer the requesters; the caller must hold the lock.

        A peer that got no new grant is answered too, as is one whose earlier grants
        are unconfirmed, which are sent again.
        """
        now = self.clock()
        load_by_requester, self._load_by_requester = self._load_by_requester, {}
        unconfirmed_by_peer = {
            peer: self.pools.fleet.unconfirmed_grants(peer)
            for peer in load_by_requester
        }
        granted_peers = self.match()
        for peer, load in load_by_requester.items():
            if unconfirmed_by_peer[peer] or peer not in granted_peers:
                # Without grants this acknowledges the peer's requests.
                self.send_grants(
                    peer,
                    unconfirmed_by_peer[peer],
                    self._expected_waits(load, now),
                    tuple(entry.number for entry in load.tickets if entry.is_return),
                )

    def _expected_waits(self, load, now):
        """Return the expected waits of new requests like those of a peer.

        In a full mesh, a peer only lacks the waits of workspaces behind their own.
        """
        if self.pools.is_full_mesh and not self.pools.shares.is_active:
            return ()
        own = self.settings.instance
        workspaces_by_key: dict[tuple, set] = {}
        for entry in load.tickets:
            workspaces_by_key.setdefault((entry.cell, entry.tier), set()).add(
                entry.workspace
            )
        return tuple(
            wait
            for (cell, tier), workspaces in workspaces_by_key.items()
            if self.pools.coordinator(cell, now) == own
            for wait in expected_waits(
                cell, tier, self._tier_waits(cell, tier, now), workspaces
            )
        )

    def _tier_waits(self, cell, tier, now):
        def count():
            if self.pools.is_full_mesh:
                return TierWaits(0.0, self.pools.own_waits(cell, tier, now))
            return self.pools.cell_waits(cell, tier, now)

        return self._recent_waits.get((cell, tier), now, count)

    def send_grants(self, peer, grants, waits=(), returns=()):
        """Send grants to a peer; safe from any thread.

        Parameters
        ----------
        peer : str
            Name of the peer.
        grants : list of (int, int, str)
            Number of each grant, number of the request at the peer, and target.
        waits : tuple of ExpectedWait
            Waits that new requests of the peer should expect.
        returns : tuple of int
            Numbers of the requests at the peer for which room is booked.
        """
        message = Grants(
            self.settings.instance,
            tuple(Grant(*grant) for grant in grants),
            waits,
            returns,
        )
        self.gossip.send_soon({peer}, message)

    def handle_grants(self, message, sent_at=None):
        """Apply a coordinator's `Grants` to the requests that wait here.

        Parameters
        ----------
        message : Grants
        sent_at : float or None
            Monotonic time at which they were sent; None for now. The coordinator gives
            the slots of unconfirmed grants to others after a while.
        """
        now = self.clock()
        sent_at = now if sent_at is None else sent_at
        grants = message.grants if now - sent_at <= GRANT_EXPIRY_SECONDS else ()
        if len(grants) < len(message.grants):
            log.info(
                "grants ignored: their slots may be taken",
                coordinator=message.instance,
                grants=len(message.grants),
                age=round(now - sent_at, 3),
            )
        with self.lock:
            self.pools.record_answer(message.instance, now)
            for wait in message.waits:
                self.pools.cell_reports.record_wait(
                    Cell(wait.service, wait.cell_data_centre),
                    wait.tier,
                    wait.seconds,
                    sent_at,
                    wait.workspace,
                )
            for ticket in self.pools.waiting_here():
                if ticket.number in message.returns:
                    ticket.is_return = True
            tickets = [
                self.pools.apply_grant(
                    message.instance, grant.number, grant.request, grant.target
                )
                for grant in grants
            ]
        for ticket in tickets:
            if ticket is not None:
                ticket.on_granted()
        if grants:
            self.gossip.acknowledge_grants_soon()
