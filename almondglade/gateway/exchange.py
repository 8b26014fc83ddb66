"""Tell the other gateways what runs here, and take in what they tell."""

from typing import Any

from ..clocks import awake_clock
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
from ..placement.places import PeerLoad, Ticket

log = get_logger("exchange")

# More time than this is told as this.
MAX_TIME_SECONDS = 3600.0
# A coordinator of a large fleet decides on what it hears in this time at once; a
# decision takes about a quarter of it while hundreds of requests wait.
GATHER_SECONDS = 0.004
# Expected waits are counted again after this; some decisions of a coordinator.
COUNT_SECONDS = 0.03


class Exchange:
    """Turns decisions into messages to peers, and their messages into facts.

    Parameters
    ----------
    settings : GatewaySettings
    incarnation : int
        Unix milliseconds of this instance's start.
    lock : threading.Lock
        Guards the decisions.
    pools, allowances, freshness
        The decisions.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    gossip : GossipProtocol
        Carries the messages; set once it exists.
    match : callable
        Gives free places to waiting requests and returns the peers that got
        some; set once it exists.
    leaving : bool
        Whether this instance is about to stop.
    """

    def __init__(
        self, settings, incarnation, lock, pools, allowances, freshness, clock
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.lock = lock
        self.pools = pools
        self.allowances = allowances
        self.freshness = freshness
        self.clock = clock
        self.leaving = False
        self.gossip: Any = None
        self.match: Any = set
        self.store_revision = 0
        self._told: set[str] = set()
        self._load_by_asking: dict[str, PeerLoad] = {}
        self._is_answer_due = False
        self._counted_waits: dict[tuple, tuple[float, float]] = {}
        pools.on_new_term = self._ask_all

    def make_report(self, sequence_number, scope=None, receiver="", with_stats=False):
        """Return the present `Report` with a sequence number.

        Parameters
        ----------
        scope : Scope or None
            Whose draws the shared state tells; None leaves the shared state out.
        receiver : str
            Peer that the shared state is for, if it is for one only.
        with_stats : bool
            Whether to tell how targets have fared here; a receiver is told of
            those that it coordinates.
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
                        min(ticket.deadline - now, MAX_TIME_SECONDS),
                        ticket.cell_data_centre,
                    )
                    for ticket in self.pools.waiting_here()
                ),
                dict(self.pools.latest_grant_by_coordinator),
                tuple(self.pools.targets.paused_here(now)),
                shared_state,
                self.pools.stats_here(now, receiver) if with_stats else None,
            )

    def _shared_state(self, scope, receiver, now):
        loads = self.pools.loads_here(now)
        for load in loads:
            self.pools.cell_reports.record_load(load, now)
        return SharedState(
            self.freshness.revision,
            self.freshness.age(awake_clock()),
            self.store_revision,
            scope,
            self.allowances.counters_for(scope, receiver),
            tuple(
                loads
                if scope is Scope.OWN
                else self.pools.cell_reports.recent_loads(now)
            ),
        )

    def report_receivers(self):
        """Return the coordinators that must be told, and when to tell them again.

        Those that were told last are told once more, so that they learn of the
        end of what ran there.

        Returns
        -------
        names : set of str
        pause : float
            Seconds until they are told again without a change.
        """
        with self.lock:
            names = self.pools.coordinators_in_use(self.clock())
            pause = self.pools.next_report_seconds()
        told, self._told = names | self._told, names
        return told - {self.settings.instance}, pause

    def coordinators_in_use(self):
        """Return the coordinators that give places to this instance."""
        with self.lock:
            return self.pools.coordinators_in_use(self.clock())

    def relay(self, data_centre):
        """Return the instance that passes shared state on in a data centre."""
        with self.lock:
            return self.pools.coordinators.choose("", self.clock(), data_centre)

    def mark_unresponsive(self, name):
        """Choose others in place of an instance that is silent."""
        with self.lock:
            self.pools.coordinators.mark_unresponsive(name, self.clock())

    def set_instances(self, info_by_instance, is_full_mesh):
        """Take in which instances there are.

        Parameters
        ----------
        info_by_instance : dict of str to InstanceInfo
            Instances that live and are not leaving.
        is_full_mesh : bool
            Whether each instance tells all others what it runs.
        """
        with self.lock:
            self.pools.is_full_mesh = is_full_mesh
            self.pools.coordinators.set_instances(
                sorted(info_by_instance), info_by_instance
            )

    def _ask_all(self):
        """Ask all instances for reports; the lock is held."""
        log.info("begins to coordinate", instance=self.settings.instance)
        self.gossip.send_to_all_soon(ReportRequest(self.settings.instance))

    def handle_report(self, report):
        """Take in a peer's `Report` and answer what it asks."""
        now = self.clock()
        own = self.settings.instance
        load = PeerLoad(
            now,
            report.running_by_target,
            tuple(self._tickets_of(report, now)),
            report.latest_grant_by_coordinator.get(own, 0),
            frozenset(report.paused_targets),
            report.stats_by_target,
        )
        asked = {ticket.cell for ticket in load.tickets if ticket.coordinator == own}
        with self.lock:
            self.pools.fleet.update(report.instance, load)
            if report.shared_state is not None:
                self._take_shared_state(report, report.shared_state, now)
            for cell in asked:
                self.pools.record_slot_request(cell, now)
            if asked:
                self._load_by_asking[report.instance] = load
            if self.pools.is_full_mesh:
                self._answer()
                return
        if not self._is_answer_due:
            self._is_answer_due = True
            self.gossip.call_later(GATHER_SECONDS, self._answer_gathered)

    def _answer_gathered(self):
        self._is_answer_due = False
        with self.lock:
            self._answer()

    def _answer(self):
        """Give out free places and answer those that asked; the lock is held."""
        now = self.clock()
        asking, self._load_by_asking = self._load_by_asking, {}
        again_by_peer = {
            peer: self.pools.fleet.unconfirmed_grants(peer) for peer in asking
        }
        answered = self.match()
        for peer, load in asking.items():
            if again_by_peer[peer] or peer not in answered:
                # Also says that the requests are known here.
                self.send_grants(peer, again_by_peer[peer], self._waits(load, now))

    def _take_shared_state(self, report, shared_state, now):
        self.allowances.apply_peer_counters(
            report.instance,
            report.incarnation,
            shared_state.consumed_by_workspace,
            shared_state.scope,
            None if self.pools.is_full_mesh else now,
            self._is_counted(report, shared_state.scope, now),
        )
        self.freshness.confirm(
            shared_state.revision, awake_clock() - shared_state.evidence_age
        )
        for cell_load in shared_state.cells:
            self.pools.cell_reports.record_load(cell_load, now)

    def _is_counted(self, report, scope, now):
        """Tell whether a report's draws are told by it alone.

        While instances disagree on the relay of a data centre, several pass the
        same draws on; those of the one that is chosen here count.
        """
        if self.pools.is_full_mesh:
            return scope is Scope.OWN
        if scope is Scope.OWN:
            return report.data_centre == self.settings.data_centre
        relay = self.pools.coordinators.choose("", now, report.data_centre)
        return report.instance == relay

    def _waits(self, load, now):
        """Return what new requests like those of a peer would wait."""
        if self.pools.is_full_mesh:
            return ()
        own = self.settings.instance
        wanted = {(entry.cell, entry.tier) for entry in load.tickets}
        return tuple(
            ExpectedWait(
                cell.service, cell.data_centre, tier, self._wait(cell, tier, now)
            )
            for cell, tier in wanted
            if self.pools.coordinator(cell, now) == own
        )

    def _wait(self, cell, tier, now):
        known = self._counted_waits.get((cell, tier))
        if known is None or now - known[1] > COUNT_SECONDS:
            known = (self.pools.cell_wait(cell, tier, now), now)
            self._counted_waits[cell, tier] = known
        return known[0]

    @staticmethod
    def _tickets_of(report, now):
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
            )

    def send_grants(self, peer, grants, waits=()):
        """Send grants to a peer; safe from any thread.

        Parameters
        ----------
        grants : list of (int, int, str)
            Number of each, number of the request at the peer, target.
        waits : tuple of ExpectedWait
        """
        message = Grants(
            self.settings.instance, tuple(Grant(*grant) for grant in grants), waits
        )
        self.gossip.send_soon({peer}, message)

    def handle_grants(self, message):
        """Take in a coordinator's `Grants`."""
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
