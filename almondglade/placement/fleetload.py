"""Fleet-wide sums of the requests that peers run and wait for, and their pauses.

Load pattern: hundreds of decisions per second with dozens of instances and targets.
Sums are updated with each report instead of being computed for each decision.
"""

import statistics
from collections import Counter
from dataclasses import replace

from .cells import Cell
from .health import TargetStats
from .places import PeerLoad, Ticket, UnconfirmedGrant

# The load of a peer no longer counts when its last report is older.
PEER_EXPIRY_SECONDS = 1.5
# A grant that the peer has not confirmed counts as a running request for this long.
GRANT_EXPIRY_SECONDS = 0.5
# Longest time between the reports of a peer that hold target stats, and their delay.
STATS_REPORT_SECONDS = 0.8
# Interval at which the target stats of all instances are merged.
STATS_MERGE_SECONDS = 0.25


class FleetLoad:
    """Sums of the peers' loads and of the slots granted to them.

    Attributes
    ----------
    running_by_target : dict of str to Counter
        Running requests of peers by target and route tier, including those with
        unconfirmed grants.
    total_by_target : dict of str to int
        The same, summed over route tiers.
    answered_at_by_target : dict of str to float
        Monotonic times of the newest reports of peers that a target has answered.
    """

    def __init__(self):
        self.running_by_target: dict[str, Counter] = {}
        self.total_by_target: dict[str, int] = {}
        self.answered_at_by_target: dict[str, float] = {}
        self._load_by_peer: dict[str, PeerLoad] = {}
        self._tickets_by_cell: dict[Cell, dict[tuple[str, int], Ticket]] = {}
        self._unconfirmed_grant_by_request: dict[tuple[str, int], UnconfirmedGrant] = {}
        self._stats_merged_at = float("-inf")

    def update(self, peer, load):
        """Replace the reported load of a peer and drop the grants it confirms.

        Parameters
        ----------
        load : PeerLoad
            Keeps the known target stats if it has none.
        """
        known = self._load_by_peer.get(peer)
        if load.stats_by_target is None and known is not None:
            load = replace(load, stats_by_target=known.stats_by_target)
        elif known is not None:
            self._record_answers(known.stats_by_target or {}, load)
        self.remove(peer)
        self._load_by_peer[peer] = load
        for target, count_by_route_tier in load.running_by_target.items():
            self._count(target, count_by_route_tier)
        for ticket in load.tickets:
            tickets = self._tickets_by_cell.setdefault(ticket.cell, {})
            tickets[peer, ticket.number] = ticket
        for key, grant in list(self._unconfirmed_grant_by_request.items()):
            if key[0] == peer and grant.number <= load.confirmed_grant:
                self._drop_grant(key)

    def remove(self, peer):
        """Remove the reported load of a peer."""
        load = self._load_by_peer.pop(peer, None)
        if load is None:
            return
        for target, count_by_route_tier in load.running_by_target.items():
            self._count(target, {tier: -n for tier, n in count_by_route_tier.items()})
        for ticket in load.tickets:
            self._tickets_by_cell[ticket.cell].pop((peer, ticket.number), None)

    def forget(self, peer):
        """Remove the load of a peer that has started again, and the grants to it."""
        self.remove(peer)
        for key in list(self._unconfirmed_grant_by_request):
            if key[0] == peer:
                self._drop_grant(key)

    def expire(self, now):
        """Remove the loads of silent peers, and grants not confirmed in time."""
        silent = [
            peer
            for peer, load in self._load_by_peer.items()
            if now - load.received_at > PEER_EXPIRY_SECONDS
        ]
        for peer in silent:
            self.remove(peer)
        self.expire_grants(now)

    def expire_grants(self, now):
        """Remove grants not confirmed in time."""
        for key, grant in list(self._unconfirmed_grant_by_request.items()):
            if now - grant.granted_at > GRANT_EXPIRY_SECONDS:
                self._drop_grant(key)

    def add_grant(self, ticket, number, now):
        """Count a slot granted to a peer's request until the peer confirms it."""
        grant = UnconfirmedGrant(
            number, ticket.target, ticket.route_tier, now, ticket.isolated_fingerprint
        )
        self._unconfirmed_grant_by_request[ticket.owner, ticket.number] = grant
        self._count(grant.target, {grant.route_tier: 1})

    def unconfirmed_grants(self, owner):
        """Return the grants that a peer has not confirmed, to send them again.

        Returns
        -------
        list of (int, int, str)
            Number of the grant, number of the request at the peer, target.
        """
        return [
            (grant.number, request, grant.target)
            for (name, request), grant in self._unconfirmed_grant_by_request.items()
            if name == owner
        ]

    def waiting_tickets(self, cell):
        """Return the peers' requests that wait for slots of a cell without a grant."""
        return [
            ticket
            for key, ticket in self._tickets_by_cell.get(cell, {}).items()
            if key not in self._unconfirmed_grant_by_request
        ]

    def waiting_cells(self):
        """Return the cells for whose slots peers' requests wait."""
        return {cell for cell, tickets in self._tickets_by_cell.items() if tickets}

    def targets_paused_by(self, peer):
        """Return the targets that a peer currently pauses."""
        load = self._load_by_peer.get(peer)
        return load.paused_targets if load else frozenset()

    def paused_targets(self, names):
        """Yield which of some targets each peer pauses, unless it pauses none."""
        for load in self._load_by_peer.values():
            if load.paused_targets:
                yield load.paused_targets & names

    def _record_answers(self, former_stats_by_target, load):
        """Record which targets have answered a peer since its last report."""
        for target, stats in (load.stats_by_target or {}).items():
            former = former_stats_by_target.get(target, TargetStats())
            if stats.successes > former.successes:
                self.answered_at_by_target[target] = load.received_at

    def surely_answered_at(self, target):
        """Return a monotonic time at which a target answered a peer, or minus infinity.

        It did so at that time or later, as a report tells of what came since the last.
        """
        answered_at = self.answered_at_by_target.get(target, float("-inf"))
        return answered_at - STATS_REPORT_SECONDS

    def isolated_runs(self):
        """Yield (target, fingerprint) of the requests that peers run in isolation."""
        for load in self._load_by_peer.values():
            for target, fingerprints in load.isolated_by_target.items():
                yield from ((target, fingerprint) for fingerprint in fingerprints)
        for grant in self._unconfirmed_grant_by_request.values():
            if grant.isolated_fingerprint:
                yield grant.target, grant.isolated_fingerprint

    def is_stats_merge_due(self, now):
        """Return whether target stats are due to be merged; if so, reset the timer."""
        if now - self._stats_merged_at <= STATS_MERGE_SECONDS:
            return False
        self._stats_merged_at = now
        return True

    def retain(self, targets):
        """Forget the answers of all targets except some."""
        for target in self.answered_at_by_target.keys() - set(targets):
            del self.answered_at_by_target[target]

    def merge_stats(self, own):
        """Return the target stats of all instances, merged.

        Parameters
        ----------
        own : dict of str to TargetStats
            Stats by target on this instance.

        Returns
        -------
        dict of str to TargetStats
            By target: medians of the event times and the slowness, sums of finished
            and failed requests.
        """
        stats_lists_by_target: dict[str, list[TargetStats]] = {}
        for stats_by_target in (
            own,
            *(load.stats_by_target or {} for load in self._load_by_peer.values()),
        ):
            for target, stats in stats_by_target.items():
                stats_lists_by_target.setdefault(target, []).append(stats)
        return {
            target: TargetStats(
                _median(stats.event_seconds for stats in stats_list),
                _median(stats.slowness for stats in stats_list),
                sum(stats.finished for stats in stats_list),
                sum(stats.failures for stats in stats_list),
            )
            for target, stats_list in stats_lists_by_target.items()
        }

    def _drop_grant(self, key):
        grant = self._unconfirmed_grant_by_request.pop(key)
        self._count(grant.target, {grant.route_tier: -1})

    def _count(self, target, count_by_route_tier):
        running = self.running_by_target.setdefault(target, Counter())
        total = self.total_by_target.get(target, 0)
        for route_tier, count in count_by_route_tier.items():
            running[route_tier] += count
            total += count
        self.total_by_target[target] = total
        if not total:
            del self.running_by_target[target], self.total_by_target[target]


def _median(values):
    """Return the median of the values that are not 0; 0 if there are none."""
    known = [value for value in values if value]
    return statistics.median(known) if known else 0.0
