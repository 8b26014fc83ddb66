"""Decide which waiting request gets which target's next free place.

Load pattern: several times more work arrives than the targets bear, by way of
every instance at once. Work waits here and not in the targets' own queues,
which know no tiers. One instance coordinates each service: all others tell it
what runs and what waits with them, and it gives each free place to the best
waiting request of the fleet. When the coordinator is silent, an instance goes on
by what it knows of the others.
"""

import itertools
from collections import Counter

from .coordination import Coordinators
from .fairness import FairOrder
from .fleetload import FleetLoad
from .places import TargetState, Ticket

# Without a coordinator, a free place that the instance with the better request
# leaves unused for this long is taken by the next; a few one-way delays.
YIELD_SECONDS = 0.05
# A request that no coordinator has answered for this long is placed here.
ALONE_SECONDS = 0.16
# Peers that must pause a target before others leave it too.
AGREED_PAUSES = 2
# Weight of the newest time that a place was held.
HOLD_WEIGHT = 0.05
# Assumed time that a place is held before any was seen, seconds.
FIRST_HOLD_SECONDS = 0.5


class Pools:
    """Places of all targets and the requests that wait for them.

    Not safe for threads; the owner holds a lock.

    Parameters
    ----------
    instance, data_centre : str
        This instance, and where it runs.
    choice : TargetChoice
        Chooses among targets with free places.
    first_grant : int
        Number of the first grant; higher after each restart.
    """

    def __init__(self, instance, data_centre, choice, first_grant=0):
        self.data_centre = data_centre
        self.choice = choice
        self.instance = instance
        self.state_by_target: dict[str, TargetState] = {}
        self.fleet = FleetLoad()
        self.coordinators = Coordinators(self.instance)
        self.out_data_centres: frozenset[str] = frozenset()
        self.tickets_by_service: dict[str, list[Ticket]] = {}
        self.hold_by_service: dict[str, float] = {}
        self.grant_by_coordinator: dict[str, int] = {}
        self._states_by_service: dict[str, list[TargetState]] = {}
        self._numbers = itertools.count(1)
        self._grant_numbers = itertools.count(first_grant + 1)

    def set_targets(self, records):
        """Replace the list of targets.

        Parameters
        ----------
        records : iterable of TargetRecord
        """
        states = {}
        for record in records:
            state = self.state_by_target.get(record.id)
            if state is None or state.record.started_at != record.started_at:
                state = TargetState(record)
            state.record = record
            states[record.id] = state
        self.state_by_target = states
        self._states_by_service = {}
        for state in states.values():
            self._states_by_service.setdefault(state.record.service, []).append(state)
        self.choice.pace.forget(states)

    def ask(self, ticket, now):
        """Let a request wait for a place."""
        ticket.number = next(self._numbers)
        ticket.owner = self.instance
        ticket.data_centre = self.data_centre
        ticket.coordinator = self.coordinators.choose(ticket.service, now)
        ticket.asked_at = now
        tickets = self.tickets_by_service.setdefault(ticket.service, [])
        tickets.append(ticket)
        tickets.sort(key=lambda entry: entry.rank)

    def take_grant(self, coordinator, number, request, target):
        """Take a place that a coordinator has granted.

        Returns
        -------
        Ticket or None
            The request that got it; None if it waits no longer.
        """
        newest = self.grant_by_coordinator.get(coordinator, 0)
        self.grant_by_coordinator[coordinator] = max(newest, number)
        state = self.state_by_target.get(target)
        if state is None or not self._takes_new_work(state):
            # The coordinator has not heard yet; the request goes on waiting.
            return None
        for tickets in self.tickets_by_service.values():
            for ticket in tickets:
                if ticket.number == request:
                    tickets.remove(ticket)
                    state.started(ticket.kind)
                    ticket.target = target
                    return ticket
        return None

    def review_coordinators(self, now):
        """Ask another instance where a coordinator is silent.

        Returns
        -------
        list of str
            Coordinators that are passed over from now on.
        """
        self.fleet.expire(now)
        tickets = self.waiting_here()
        silent = {
            ticket.coordinator
            for ticket in tickets
            if self.coordinators.is_silent(ticket.coordinator, ticket.asked_at, now)
        }
        for name in silent:
            self.coordinators.pass_over(name, now)
        for ticket in tickets:
            chosen = self.coordinators.choose(ticket.service, now)
            if chosen != ticket.coordinator:
                ticket.coordinator, ticket.asked_at = chosen, now
        return sorted(silent)

    def withdraw(self, ticket):
        """Cease to wait; tell whether the request was still waiting."""
        tickets = self.tickets_by_service.get(ticket.service, [])
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        return True

    def release(self, ticket, held, now):
        """Return the place of a request that has ended.

        Parameters
        ----------
        held : float or None
            Seconds for which it ran; None if it did not.
        """
        state = self.state_by_target.get(ticket.target)
        if state is not None:
            state.ended(ticket.kind)
        if held is not None:
            mean = self.hold_by_service.get(ticket.service, FIRST_HOLD_SECONDS)
            mean += HOLD_WEIGHT * (held - mean)
            self.hold_by_service[ticket.service] = mean

    def match(self, now):
        """Give free places to waiting requests.

        Returns
        -------
        list of (Ticket, int)
            Requests that got a place; those of peers with the number of the
            grant, own ones with 0.
        """
        self.fleet.expire_grants(now)
        services = sorted(self.fleet.services() | self.tickets_by_service.keys())
        return [
            grant for service in services for grant in self._match_service(service, now)
        ]

    def _match_service(self, service, now):
        foreign = self.fleet.tickets(service)
        asked = [ticket for ticket in foreign if ticket.coordinator == self.instance]
        mine = [
            ticket
            for ticket in self.tickets_by_service.get(service, ())
            if self._is_decided_here(ticket, now)
        ]
        if not asked and not mine:
            return
        states = self._usable(service, now)
        free = self._free(states, now)
        if free <= 0:
            return
        order = self._order(states, now)
        for ticket in order.sort((*asked, *mine)):
            if ticket.coordinator != self.instance and self._yields(
                ticket, foreign, free, now
            ):
                continue
            state = self.choice.choose(
                ticket,
                [(state, self._load(state)) for state in states],
                ticket.avoid | self.fleet.avoided_by(ticket.owner),
                self.fleet.event_seconds(self.event_seconds_here(), now),
                now,
            )
            if state is None:
                continue
            order.started(ticket.kind)
            yield ticket, self._give(ticket, state, now)
            free -= 1
            if free <= 0:
                return

    def _order(self, states, now):
        """Return the order of the requests for some targets."""
        return FairOrder(
            lambda: self._running_by_kind(states),
            sum(state.limit(now) for state in states),
        )

    def _running_by_kind(self, states):
        running: Counter = Counter()
        for state in states:
            running.update(state.running_by_kind)
            running.update(self.fleet.running_by_target.get(state.record.id, ()))
        return running

    def _is_decided_here(self, ticket, now):
        """Tell whether an own request is placed by this instance."""
        if ticket.coordinator == self.instance:
            return True
        heard = self.coordinators.heard_at(ticket.coordinator)
        return now - max(ticket.arrived, heard) > ALONE_SECONDS

    @staticmethod
    def _yields(ticket, foreign, free, now):
        """Tell whether a place is left to better requests elsewhere."""
        if sum(other.rank < ticket.rank for other in foreign) < free:
            return False
        if ticket.passed_over_at is None:
            ticket.passed_over_at = now
        return now - ticket.passed_over_at < YIELD_SECONDS

    def _give(self, ticket, state, now):
        """Take a place for a request; return the number of the grant."""
        ticket.target = state.record.id
        self.choice.chosen(ticket, state, now)
        if ticket.owner == self.instance:
            self.tickets_by_service[ticket.service].remove(ticket)
            state.started(ticket.kind)
            return 0
        number = next(self._grant_numbers)
        self.fleet.give(ticket, number, now)
        return number

    def _free(self, states, now):
        return sum(max(0, state.limit(now) - self._load(state)) for state in states)

    def _load(self, state):
        return state.running_here + self.fleet.total_by_target.get(state.record.id, 0)

    def _usable(self, service, now):
        return [
            state
            for state in self._states_by_service.get(service, ())
            if self._takes_new_work(state)
            and not state.health.is_paused(now)
            and self.fleet.paused_by_target[state.record.id] < AGREED_PAUSES
        ]

    def _takes_new_work(self, state):
        """Tell whether operators and the target itself let it get work."""
        return (
            not state.record.leaving
            and state.record.data_centre not in self.out_data_centres
        )

    def takes_new_work(self, target):
        """Tell whether a target is listed and may get work."""
        state = self.state_by_target.get(target)
        return state is not None and self._takes_new_work(state)

    def services(self):
        """Return the services that have targets."""
        return sorted(self._states_by_service)

    def free_places(self, service, now):
        """Return the free places of a service, as known here."""
        return self._free(self._usable(service, now), now)

    def paused_here(self, now):
        """Return the targets that this instance does not use for now."""
        return [
            name
            for name, state in self.state_by_target.items()
            if state.health.is_paused(now) or not self._takes_new_work(state)
        ]

    def event_seconds_here(self):
        """Return the pace of streams by target, as seen here."""
        return {
            name: state.health.event_seconds
            for name, state in self.state_by_target.items()
            if state.health.event_seconds
        }

    def expected_wait(self, service, tier, now):
        """Return the seconds that a new request is expected to wait.

        Parameters
        ----------
        tier : tuple of int
            Its rank; requests behind it do not count.
        """
        states = self._usable(service, now)
        places = sum(state.limit(now) for state in states)
        if not places:
            return float("inf")
        if self._free(states, now) > 0:
            return 0.0
        newest = Ticket(service, tier, now, owner=self.instance)
        waiting = (
            *self.tickets_by_service.get(service, ()),
            *self.fleet.tickets(service),
        )
        ahead = itertools.takewhile(
            lambda ticket: ticket is not newest,
            self._order(states, now).sort([newest, *waiting]),
        )
        return (sum(1 for _ in ahead) + 1) * self.hold(service) / places

    def hold(self, service):
        """Return the mean seconds for which a place is held."""
        return self.hold_by_service.get(service, FIRST_HOLD_SECONDS)

    def running_here(self):
        """Return the requests of this instance by target and kind."""
        return {
            name: dict(+state.running_by_kind)
            for name, state in self.state_by_target.items()
            if state.running_here
        }

    def waiting_here(self):
        """Return the requests that wait here."""
        return list(itertools.chain.from_iterable(self.tickets_by_service.values()))
