"""Exchange reports and grants of slots with the other gateways."""

from typing import Any

from ..clocks import boottime_clock
from ..gossip.messages import (
    ExpectedWait,
    Grant,
    Grants,
    Report,
    ReportRequest,
    SharedState,
    WaitingRequest,
)
from ..log import get_logger
from ..placement.allowance import Scope
from ..placement.cells import Cell
from ..placement.outlook import RecentWaits
from ..placement.places import PeerLoad, Ticket

log = get_logger("exchange")

# Largest remaining time that is reported, as a deadline may be infinite.
MAX_TIME_LEFT_SECONDS = 3600.0
# A coordinator of a large fleet makes one decision for all reports that arrive within
# this time; a decision takes about a quarter of it while hundreds of requests wait.
BATCH_SECONDS = 0.004


class Exchange:
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
        self.settings = settings
        self.incarnation = incarnation
        self.lock = lock
        self.pools = pools
        self.allowances = allowances
        self.freshness = freshness
        self.registry = registry
        self.clock = clock
        self.leaving = False
        self.gossip: Any = None
        self.suspects: Any = None
        self.origins: Any = None
        self.limits: Any = None
        self.peer_states: Any = None
        self.match: Any = set
        self._last_receivers: set[str] = set()
        self._incarnation_by_peer: dict[str, int] = {}
        self._load_by_requester: dict[str, PeerLoad] = {}
        self._is_batch_scheduled = False
        self._recent_waits = RecentWaits()
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
                    WaitingRequest(
                        ticket.number,
                        ticket.service,
                        ticket.tier,
                        now - ticket.arrived_at,
                        tuple(ticket.attempted_targets),
                        ticket.coordinator,
                        ticket.expected_events,
                        min(ticket.deadline - now, MAX_TIME_LEFT_SECONDS),
                        ticket.cell_data_centre,
                        ticket.isolated_fingerprint,
                        ticket.version,
                        ticket.workspace,
                        ticket.tokens,
                    )
                    for ticket in self.pools.waiting_here()
                ),
                dict(self.pools.latest_grant_by_coordinator),
                tuple(self.pools.targets.paused_here(now)),
                shared_state,
                self.pools.stats_here(now, receiver) if with_stats else None,
                self.pools.isolated_here(),
                self._moments_for(receiver, now),
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

    def _shared_state(self, scope, receiver, now):
        loads = self.pools.loads_here(now)
        for load in loads:
            self.pools.cell_reports.record_load(load, now)
        return SharedState(
            self.registry.catalogue_revision,
            self.freshness.age(boottime_clock()),
            scope,
            self.allowances.counters_for(scope, receiver),
            tuple(
                loads
                if scope is Scope.OWN
                else self.pools.cell_reports.recent_loads(now)
            ),
            self.freshness.version,
            self.registry.position,
        )

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
        with self.lock:
            names = self.pools.coordinators_in_use(self.clock())
            pause = self.pools.next_report_seconds()
        receivers, self._last_receivers = names | self._last_receivers, names
        return receivers - {self.settings.instance}, pause

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
        """
        now = self.clock()
        own = self.settings.instance
        load = PeerLoad(
            now,
            report.running_by_target,
            tuple(self._tickets_from(report, now)),
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
            self.pools.fleet.update(report.instance, load)
            self.pools.moments.record_shared(report.moments, now)
            if report.shared_state is not None:
                self._apply_shared_state(report, report.shared_state, now)
            for cell in requested_cells:
                self.pools.record_slot_request(cell, now)
            if requested_cells:
                self._load_by_requester[report.instance] = load
            if self.pools.is_full_mesh:
                self._answer_requesters()
                return
        if not self._is_batch_scheduled:
            self._is_batch_scheduled = True
            self.gossip.call_later(BATCH_SECONDS, self._answer_batch)

    def _note_incarnation(self, report):
        """Forget which grants of a peer were received before it started again.

        Their numbers follow its clock, which may have been set back.
        """
        former = self._incarnation_by_peer.get(report.instance)
        self._incarnation_by_peer[report.instance] = report.incarnation
        if former not in (None, report.incarnation):
            self.pools.latest_grant_by_coordinator.pop(report.instance, None)

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
                    peer, unconfirmed_by_peer[peer], self._expected_waits(load, now)
                )

    def _apply_shared_state(self, report, shared_state, now):
        self.allowances.apply_peer_counters(
            report.instance,
            report.incarnation,
            shared_state.consumed_by_workspace,
            shared_state.scope,
            None if self.pools.is_full_mesh else now,
            self._is_counted(report, shared_state.scope, now),
        )
        self._apply_configuration_evidence(report.instance, shared_state)
        for cell_load in shared_state.cells:
            self.pools.cell_reports.record_load(cell_load, now)

    def _apply_configuration_evidence(self, peer, shared_state):
        was_outdated = self.freshness.is_outdated
        self.freshness.confirm(
            shared_state.version, boottime_clock() - shared_state.evidence_age
        )
        self.peer_states.record(peer, shared_state.version, shared_state.store_position)
        if self.freshness.is_outdated and not was_outdated:
            log.info(
                "a peer has a newer configuration",
                peer=peer,
                version=shared_state.version,
                version_in_force=self.freshness.version,
                evidence_age=round(shared_state.evidence_age, 3),
            )

    def _is_counted(self, report, scope, now):
        """Return whether the consumption in a report is to be counted.

        The same consumption must count once only. While instances disagree on the
        relay of a data centre, several of them relay it; only the reports of the relay
        that is chosen here are counted.
        """
        if self.pools.is_full_mesh:
            return scope is Scope.OWN
        if scope is Scope.OWN:
            return report.data_centre == self.settings.data_centre
        relay = self.pools.coordinators.choose("", now, report.data_centre)
        return report.instance == relay

    def _expected_waits(self, load, now):
        """Return the expected waits of new requests like those of a peer."""
        if self.pools.is_full_mesh:
            return ()
        own = self.settings.instance
        keys = {(entry.cell, entry.tier) for entry in load.tickets}
        return tuple(
            ExpectedWait(
                cell.service,
                cell.data_centre,
                tier,
                self._expected_wait(cell, tier, now),
            )
            for cell, tier in keys
            if self.pools.coordinator(cell, now) == own
        )

    def _expected_wait(self, cell, tier, now):
        return self._recent_waits.get(
            (cell, tier), now, lambda: self.pools.cell_wait(cell, tier, now)
        )

    @staticmethod
    def _tickets_from(report, now):
        for entry in report.waiting:
            yield Ticket(
                entry.service,
                entry.tier,
                now - entry.age,
                frozenset(entry.attempted_targets),
                owner=report.instance,
                data_centre=report.data_centre,
                expected_events=entry.expected_events,
                deadline=now + entry.time_left,
                number=entry.number,
                coordinator=entry.coordinator,
                cell_data_centre=entry.cell_data_centre,
                isolated_fingerprint=entry.isolated_fingerprint,
                version=entry.version,
                workspace=entry.workspace,
                tokens=entry.tokens,
            )

    def send_grants(self, peer, grants, waits=()):
        """Send grants to a peer; safe from any thread.

        Parameters
        ----------
        peer : str
            Name of the peer.
        grants : list of (int, int, str)
            Number of each grant, number of the request at the peer, and target.
        waits : tuple of ExpectedWait
            Waits that new requests of the peer should expect.
        """
        message = Grants(
            self.settings.instance, tuple(Grant(*grant) for grant in grants), waits
        )
        self.gossip.send_soon({peer}, message)

    def handle_grants(self, message):
        """Apply a coordinator's `Grants` to the requests that wait here."""
        now = self.clock()
        with self.lock:
            self.pools.record_answer(message.instance, now)
            for wait in message.waits:
                self.pools.cell_reports.record_wait(
                    Cell(wait.service, wait.cell_data_centre),
                    wait.tier,
                    wait.seconds,
                    now,
                )
            tickets = [
                self.pools.apply_grant(
                    message.instance, grant.number, grant.request, grant.target
                )
                for grant in message.grants
            ]
        for ticket in tickets:
            if ticket is not None:
                ticket.on_granted()
        if message.grants:
            self.gossip.acknowledge_grants_soon()
