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
from .places import Slot, Ticket

# Without a coordinator, a free place that the instance with the better request
# leaves unused for this long is taken by the next; a few one-way delays.
YIELD_SECONDS = 0.05
# A request that no coordinator has answered for this long is placed here.
ALONE_SECONDS = 0.16
# Peers that must pause a target before others leave it too.
AGREED_PAUSES = 2
# What another data centre adds to a target's load, in places: a tie-breaker.
REMOTE_PLACES = 2.0
# Share of its time that a stream may be expected to take at a target.
TIME_SHARE = 0.85
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
    pace : ColdPace
        Bounds requests to cold targets.
    first_grant : int
        Number of the first grant; higher after each restart.
    """

    def __init__(self, instance, data_centre, pace, first_grant=0):
        self.data_centre = data_centre
        self.pace = pace
        self.instance = instance
        self.slot_by_target: dict[str, Slot] = {}
        self.fleet = FleetLoad()
        self.coordinators = Coordinators(self.instance)
        self.cold_rate_by_service: dict[str, float] = {}
        self.out_data_centres: frozenset[str] = frozenset()
        self.tickets_by_service: dict[str, list[Ticket]] = {}
        self.hold_by_service: dict[str, float] = {}
        self.grant_by_coordinator: dict[str, int] = {}
        self._slots_by_service: dict[str, list[Slot]] = {}
        self._numbers = itertools.count(1)
        self._grant_numbers = itertools.count(first_grant + 1)

    def set_targets(self, records):
        """Replace the list of targets.

        Parameters
        ----------
        records : iterable of TargetRecord
        """
        slots = {}
        for record in records:
            slot = self.slot_by_target.get(record.id)
            if slot is None or slot.record.started_at != record.started_at:
                slot = Slot(record)
            slot.record = record
            slots[record.id] = slot
        self.slot_by_target = slots
        self._slots_by_service = {}
        for slot in slots.values():
            self._slots_by_service.setdefault(slot.record.service, []).append(slot)
        self.pace.forget(slots)

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
        slot = self.slot_by_target.get(target)
        if slot is None or not self._takes_new_work(slot):
            # The coordinator has not heard yet; the request goes on waiting.
            return None
        for tickets in self.tickets_by_service.values():
            for ticket in tickets:
                if ticket.number == request:
                    tickets.remove(ticket)
                    slot.started(ticket.kind)
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
        slot = self.slot_by_target.get(ticket.target)
        if slot is not None:
            slot.ended(ticket.kind)
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
        slots = self._usable(service, now)
        free = self._free(slots, now)
        if free <= 0:
            return
        order = self._order(slots, now)
        for ticket in order.sort((*asked, *mine)):
            if ticket.coordinator != self.instance and self._yields(
                ticket, foreign, free, now
            ):
                continue
            slot = self._choose(ticket, slots, now)
            if slot is None:
                continue
            order.started(ticket.kind)
            yield ticket, self._give(ticket, slot, now)
            free -= 1
            if free <= 0:
                return

    def _order(self, slots, now):
        """Return the order of the requests for some slots."""
        return FairOrder(
            lambda: self._running_by_kind(slots),
            sum(slot.limit(now) for slot in slots),
        )

    def _running_by_kind(self, slots):
        running: Counter = Counter()
        for slot in slots:
            running.update(slot.running_by_kind)
            running.update(self.fleet.running_by_target.get(slot.record.id, ()))
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

    def _give(self, ticket, slot, now):
        """Take a place for a request; return the number of the grant."""
        target = ticket.target = slot.record.id
        if self._is_cold(slot, now):
            rate = self.cold_rate_by_service[ticket.service]
            self.pace.sent(target, rate, now)
        if ticket.owner == self.instance:
            self.tickets_by_service[ticket.service].remove(ticket)
            slot.started(ticket.kind)
            return 0
        number = next(self._grant_numbers)
        self.fleet.give(ticket, number, now)
        return number

    def _free(self, slots, now):
        return sum(max(0, slot.limit(now) - self._load(slot)) for slot in slots)

    def _load(self, slot):
        return slot.running_here + self.fleet.total_by_target.get(slot.record.id, 0)

    def _usable(self, service, now):
        return [
            slot
            for slot in self._slots_by_service.get(service, ())
            if self._takes_new_work(slot)
            and not slot.health.is_paused(now)
            and self.fleet.paused_by_target[slot.record.id] < AGREED_PAUSES
        ]

    def _takes_new_work(self, slot):
        """Tell whether operators and the target itself let it get work."""
        return (
            not slot.record.leaving
            and slot.record.data_centre not in self.out_data_centres
        )

    def takes_new_work(self, target):
        """Tell whether a target is listed and may get work."""
        slot = self.slot_by_target.get(target)
        return slot is not None and self._takes_new_work(slot)

    def services(self):
        """Return the services that have targets."""
        return sorted(self._slots_by_service)

    def free_places(self, service, now):
        """Return the free places of a service, as known here."""
        return self._free(self._usable(service, now), now)

    def paused_here(self, now):
        """Return the targets that this instance does not use for now."""
        return [
            name
            for name, slot in self.slot_by_target.items()
            if slot.health.is_paused(now) or not self._takes_new_work(slot)
        ]

    def _is_cold(self, slot, now):
        rate = self.cold_rate_by_service.get(slot.record.service, 0.0)
        return rate > 0.0 and now < slot.record.cold_until

    def _may_warm(self, ticket, slot, now):
        """Tell whether a cold target may get a request; coordinators alone decide."""
        rate = self.cold_rate_by_service[ticket.service]
        return ticket.coordinator == self.instance and self.pace.may_send(
            slot.record.id, rate, now
        )

    def _choose(self, ticket, slots, now):
        """Return the slot where the request is expected to be answered first."""
        candidates = []
        avoid = (
            ticket.avoid
            | self.fleet.avoided_by(ticket.owner)
            | self._too_slow_for(ticket, slots, now)
        )
        for slot in slots:
            record = slot.record
            load = self._load(slot)
            if load >= slot.limit(now) or record.id in avoid:
                continue
            if self._is_cold(slot, now) and not self._may_warm(ticket, slot, now):
                continue
            remote = record.data_centre != ticket.data_centre
            cost = (load + 1 + REMOTE_PLACES * remote) / record.slots
            cost *= (slot.health.slowness or 1.0) * (
                1.0 + slot.health.failure_share(now)
            )
            candidates.append((cost, record.id, slot))
        return min(candidates)[2] if candidates else None

    def event_seconds_here(self):
        """Return the pace of streams by target, as seen here."""
        return {
            name: slot.health.event_seconds
            for name, slot in self.slot_by_target.items()
            if slot.health.event_seconds
        }

    def _too_slow_for(self, ticket, slots, now):
        """Return the targets that cannot end a long stream in time.

        None are, if there is no target that can.
        """
        if not ticket.events:
            return frozenset()
        left = TIME_SHARE * (ticket.deadline - now)
        pace = self.fleet.event_seconds(self.event_seconds_here(), now)
        slow = {
            slot.record.id
            for slot in slots
            if ticket.events * pace.get(slot.record.id, 0.0) > left
        }
        return frozenset(slow) if len(slow) < len(slots) else frozenset()

    def expected_wait(self, service, tier, now):
        """Return the seconds that a new request is expected to wait.

        Parameters
        ----------
        tier : tuple of int
            Its rank; requests behind it do not count.
        """
        slots = self._usable(service, now)
        places = sum(slot.limit(now) for slot in slots)
        if not places:
            return float("inf")
        if self._free(slots, now) > 0:
            return 0.0
        newest = Ticket(service, tier, now, owner=self.instance)
        waiting = (
            *self.tickets_by_service.get(service, ()),
            *self.fleet.tickets(service),
        )
        ahead = itertools.takewhile(
            lambda ticket: ticket is not newest,
            self._order(slots, now).sort([newest, *waiting]),
        )
        return (sum(1 for _ in ahead) + 1) * self.hold(service) / places

    def hold(self, service):
        """Return the mean seconds for which a place is held."""
        return self.hold_by_service.get(service, FIRST_HOLD_SECONDS)

    def running_here(self):
        """Return the requests of this instance by target and kind."""
        return {
            name: dict(+slot.running_by_kind)
            for name, slot in self.slot_by_target.items()
            if slot.running_here
        }

    def waiting_here(self):
        """Return the requests that wait here."""
        return list(itertools.chain.from_iterable(self.tickets_by_service.values()))
