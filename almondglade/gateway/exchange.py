"""Tell the other gateways what runs here, and take in what they tell."""

from typing import Any

from ..clocks import awake_clock
from ..gossip.messages import Grant, Grants, Report, WaitingHere
from ..log import get_logger
from ..placement.places import PeerLoad, Ticket

log = get_logger("exchange")

# More time than this is told as this.
MAX_TIME_SECONDS = 3600.0


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
    fleet : Fleet
        Carries the messages; set once it exists.
    match : callable
        Gives free places to waiting requests; set once it exists.
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
        self.fleet: Any = None
        self.match = lambda: None

    def make_report(self, number):
        """Return the present `Report` with a number."""
        now = self.clock()
        with self.lock:
            return Report(
                self.settings.instance,
                self.settings.data_centre,
                self.incarnation,
                number,
                self.leaving,
                self.freshness.revision,
                self.freshness.age(awake_clock()),
                self.pools.running_here(),
                tuple(
                    WaitingHere(
                        ticket.number,
                        ticket.service,
                        ticket.tier,
                        now - ticket.arrived,
                        tuple(ticket.avoid),
                        ticket.coordinator,
                        ticket.events,
                        min(ticket.deadline - now, MAX_TIME_SECONDS),
                    )
                    for ticket in self.pools.waiting_here()
                ),
                self.allowances.drawn_here(),
                dict(self.pools.grant_by_coordinator),
                tuple(self.pools.paused_here(now)),
                self.pools.event_seconds_here(),
            )

    def coordinators(self):
        """Return the coordinators of all services, and whether work waits."""
        now = self.clock()
        with self.lock:
            services = self.pools.services()
            waiting = self.pools.waiting_here()
            choose = self.pools.coordinators.choose
            names = {choose(service, now) for service in services}
            names |= {ticket.coordinator for ticket in waiting}
        return names - {self.settings.instance}, bool(waiting)

    def take_report(self, report):
        """Take in a peer's `Report` and answer what it asks."""
        now = self.clock()
        own = self.settings.instance
        load = PeerLoad(
            now,
            report.running_by_target,
            tuple(self._tickets_of(report, now)),
            report.grant_by_coordinator.get(own, 0),
            frozenset(report.paused),
            report.event_seconds_by_target,
        )
        instances = {own} | {
            peer.instance for peer in self.fleet.live_peers() if not peer.leaving
        }
        with self.lock:
            self.pools.fleet.take(report.instance, load)
            self.pools.coordinators.instances = sorted(instances)
            self.allowances.take_peer(
                report.instance, report.incarnation, report.drawn_by_workspace
            )
            self.freshness.confirm(report.revision, awake_clock() - report.evidence_age)
            again = self.pools.fleet.given_to(report.instance)
            self.match()
            if any(entry.coordinator == own for entry in report.waiting):
                # Also says that the requests are known here.
                self.send_grants(report.instance, again)

    @staticmethod
    def _tickets_of(report, now):
        for entry in report.waiting:
            yield Ticket(
                entry.service,
                entry.tier,
                now - entry.age,
                frozenset(entry.avoid),
                owner=report.instance,
                data_centre=report.data_centre,
                events=entry.events,
                deadline=now + entry.time_left,
                number=entry.number,
                coordinator=entry.coordinator,
            )

    def send_grants(self, peer, grants):
        """Send grants to a peer; safe from any thread.

        Parameters
        ----------
        grants : list of (int, int, str)
            Number of each, number of the request at the peer, target.
        """
        message = Grants(
            self.settings.instance, tuple(Grant(*grant) for grant in grants)
        )
        self.fleet.send_soon({peer}, message)

    def take_grants(self, message):
        """Take in a coordinator's `Grants`."""
        with self.lock:
            self.pools.coordinators.heard_from(message.instance, self.clock())
            tickets = [
                self.pools.take_grant(
                    message.instance, grant.number, grant.request, grant.target
                )
                for grant in message.grants
            ]
        for ticket in tickets:
            if ticket is not None:
                ticket.granted()
        if message.grants:
            self.fleet.changed()
