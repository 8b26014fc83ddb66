"""Decide which waiting request gets which target's next free place.

Load pattern: several times more work arrives than the targets bear, by way of
every instance at once. Work waits here and not in the targets' own queues,
which know no tiers. One instance coordinates each service: all others tell it
what runs and what waits with them, and it gives each free place to the best
waiting request of the fleet. When the coordinator is silent, an instance goes on
by what it knows of the others.
"""

import itertools
import statistics
from collections import Counter

from .coordination import Coordinators
from .fairness import FairOrder
from .places import GivenPlace, PeerLoad, Slot, Ticket

# Without a coordinator, a free place that the instance with the better request
# leaves unused for this long is taken by the next; a few one-way delays.
YIELD_SECONDS = 0.05
# A request that no coordinator has answered for this long is placed here.
ALONE_SECONDS = 0.16
# A grant that the peer has not confirmed counts as running for this long.
GRANT_SECONDS = 0.5
# A peer that has been silent for this long no longer counts; seconds.
PEER_SECONDS = 1.5
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
    data_centre : str
        Where this instance runs.
    pace : ColdPace
        Bounds requests to cold targets.
    first_grant : int
        Number of the first grant; higher after each restart.
    """

    def __init__(self, data_centre, pace, first_grant=0):
        self.data_centre = data_centre
        self.pace = pace
        self.instance = pace.instance
        self.slot_by_target: dict[str, Slot] = {}
        self.load_by_peer: dict[str, PeerLoad] = {}
        self.coordinators = Coordinators(self.instance)
        self.cold_rate_by_service: dict[str, float] = {}
        self.out_data_centres: frozenset[str] = frozenset()
        self.tickets_by_service: dict[str, list[Ticket]] = {}
        self.hold_by_service: dict[str, float] = {}
        self.grant_by_coordinator: dict[str, int] = {}
        self._given: dict[tuple[str, int], GivenPlace] = {}
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
                    slot.running_by_kind[ticket.kind] += 1
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
            slot.running_by_kind[ticket.kind] -= 1
            slot.running_by_kind = +slot.running_by_kind
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
        self._forget_given(now)
        return list(
            itertools.chain.from_iterable(
                self._match_service(service, now) for service in self._services(now)
            )
        )

    def _services(self, now):
        foreign = {
            ticket.service for load in self._loads(now) for ticket in load.tickets
        }
        return sorted(foreign | self.tickets_by_service.keys())

    def _loads(self, now):
        return [
            load
            for load in self.load_by_peer.values()
            if now - load.heard_at <= PEER_SECONDS
        ]

    def _match_service(self, service, now):
        own = self.tickets_by_service.get(service, [])
        foreign = [
            ticket
            for load in self._loads(now)
            for ticket in load.tickets
            if ticket.service == service
            and (ticket.owner, ticket.number) not in self._given
        ]
        asked = [ticket for ticket in foreign if ticket.coordinator == self.instance]
        mine = [ticket for ticket in own if self._is_decided_here(ticket, now)]
        if not asked and not mine:
            return
        running = self._running_elsewhere(now)
        order = FairOrder(
            self._running_by_kind(service, running, now),
            sum(slot.limit(now) for slot in self._usable(service, now)),
        )
        for ticket in order.sort((*asked, *mine)):
            free = self._free(service, running, now)
            if free <= 0:
                break
            if ticket.coordinator != self.instance and self._yields(
                ticket, foreign, free, now
            ):
                continue
            slot = self._choose(ticket, running, now)
            if slot is None:
                continue
            order.started(ticket.kind)
            yield ticket, self._give(ticket, slot, running, now)

    def _running_by_kind(self, service, running_elsewhere, now):
        running: Counter = Counter()
        for slot in self._usable(service, now):
            running.update(slot.running_by_kind)
            running.update(running_elsewhere.get(slot.record.id, ()))
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

    def _give(self, ticket, slot, running, now):
        """Take a place for a request; return the number of the grant."""
        target = ticket.target = slot.record.id
        if self._is_cold(slot, now):
            rate = self.cold_rate_by_service[ticket.service]
            self.pace.sent(target, rate, self.coordinators.instances, now)
        if ticket.owner == self.instance:
            self.tickets_by_service[ticket.service].remove(ticket)
            slot.running_by_kind[ticket.kind] += 1
            return 0
        number = next(self._grant_numbers)
        self._given[ticket.owner, ticket.number] = GivenPlace(
            number, target, ticket.kind, now
        )
        running.setdefault(target, Counter())[ticket.kind] += 1
        return number

    def _forget_given(self, now):
        """Drop the grants that peers have confirmed, or let pass."""
        for (owner, request), place in list(self._given.items()):
            load = self.load_by_peer.get(owner)
            if (
                load is None
                or load.confirmed >= place.number
                or now - place.at > GRANT_SECONDS
            ):
                del self._given[owner, request]

    def given_to(self, owner):
        """Return the grants that a peer has not confirmed, for repetition."""
        return [
            (place.number, request, place.target)
            for (name, request), place in self._given.items()
            if name == owner
        ]

    def _running_elsewhere(self, now):
        running: dict[str, Counter] = {}
        counts = itertools.chain(
            *(load.running_by_target.items() for load in self._loads(now)),
            ((place.target, {place.kind: 1}) for place in self._given.values()),
        )
        for target, count_by_kind in counts:
            running.setdefault(target, Counter()).update(count_by_kind)
        return running

    def _free(self, service, running_elsewhere, now):
        return sum(
            max(0, slot.limit(now) - self._load(slot, running_elsewhere))
            for slot in self._usable(service, now)
        )

    @staticmethod
    def _load(slot, running_elsewhere):
        elsewhere = running_elsewhere.get(slot.record.id)
        return slot.running_here + (elsewhere.total() if elsewhere else 0)

    def _usable(self, service, now):
        paused_by_peers = Counter(
            itertools.chain.from_iterable(load.paused for load in self._loads(now))
        )
        return [
            slot
            for slot in self.slot_by_target.values()
            if slot.record.service == service
            and self._takes_new_work(slot)
            and not slot.health.is_paused(now)
            and paused_by_peers[slot.record.id] < AGREED_PAUSES
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
        return sorted({slot.record.service for slot in self.slot_by_target.values()})

    def free_places(self, service, now):
        """Return the free places of a service, as known here."""
        return self._free(service, self._running_elsewhere(now), now)

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

    def _choose(self, ticket, running_elsewhere, now):
        """Return the slot where the request is expected to be answered first."""
        candidates = []
        too_slow = self._too_slow_for(ticket, now)
        told = self.load_by_peer.get(ticket.owner)
        avoid = ticket.avoid | told.paused if told else ticket.avoid
        for slot in self._usable(ticket.service, now):
            record = slot.record
            load = self._load(slot, running_elsewhere)
            if load >= slot.limit(now) or record.id in avoid | too_slow:
                continue
            if self._is_cold(slot, now) and not self.pace.may_send(
                record.id,
                self.cold_rate_by_service[record.service],
                self.coordinators.instances,
                now,
            ):
                continue
            remote = record.data_centre != ticket.data_centre
            cost = (load + 1 + REMOTE_PLACES * remote) / record.slots
            cost *= (slot.health.slowness or 1.0) * (
                1.0 + slot.health.failure_share(now)
            )
            candidates.append((cost, record.id, slot))
        return min(candidates)[2] if candidates else None

    def event_seconds(self, now):
        """Return the pace of streams by target, as all instances have seen it."""
        seen: dict[str, list[float]] = {}
        paces = itertools.chain(
            self.event_seconds_here().items(),
            *(load.event_seconds_by_target.items() for load in self._loads(now)),
        )
        for target, seconds in paces:
            seen.setdefault(target, []).append(seconds)
        return {target: statistics.median(values) for target, values in seen.items()}

    def event_seconds_here(self):
        """Return the pace of streams by target, as seen here."""
        return {
            name: slot.health.event_seconds
            for name, slot in self.slot_by_target.items()
            if slot.health.event_seconds
        }

    def _too_slow_for(self, ticket, now):
        """Return the targets that cannot end a long stream in time.

        None are, if there is no target that can.
        """
        if not ticket.events:
            return frozenset()
        left = TIME_SHARE * (ticket.deadline - now)
        pace = self.event_seconds(now)
        usable = [slot.record.id for slot in self._usable(ticket.service, now)]
        slow = {name for name in usable if ticket.events * pace.get(name, 0.0) > left}
        return frozenset(slow) if len(slow) < len(usable) else frozenset()

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
        running = self._running_elsewhere(now)
        if self._free(service, running, now) > 0:
            return 0.0
        newest = Ticket(service, tier, now, owner=self.instance)
        waiting = itertools.chain(
            self.tickets_by_service.get(service, ()),
            *(load.tickets for load in self._loads(now)),
        )
        order = FairOrder(self._running_by_kind(service, running, now), places)
        ahead = itertools.takewhile(
            lambda ticket: ticket is not newest,
            order.sort(
                [newest, *(ticket for ticket in waiting if ticket.service == service)]
            ),
        )
        return (sum(1 for _ in ahead) + 1) * self.hold(service) / places

    def hold(self, service):
        """Return the mean seconds for which a place is held."""
        return self.hold_by_service.get(service, FIRST_HOLD_SECONDS)

    def running_here(self):
        """Return the requests of this instance by target and kind."""
        return {
            name: dict(slot.running_by_kind)
            for name, slot in self.slot_by_target.items()
            if slot.running_here
        }

    def waiting_here(self):
        """Return the requests that wait here."""
        return list(itertools.chain.from_iterable(self.tickets_by_service.values()))
