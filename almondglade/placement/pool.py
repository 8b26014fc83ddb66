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
from dataclasses import dataclass, field

import xxhash

from .fairness import FairOrder
from .health import Health

# Without a coordinator, a free place that the instance with the better request
# leaves unused for this long is taken by the next; a few one-way delays.
YIELD_SECONDS = 0.05
# A coordinator that has not answered for this long is passed over; some round
# trips and a pause of its interpreter.
SILENT_SECONDS = 0.08
# It is asked again after this.
SUSPECT_SECONDS = 1.0
# A request that no coordinator has answered for this long is placed here.
ALONE_SECONDS = 0.16
# A grant that the peer has not confirmed counts as running for this long.
GRANT_SECONDS = 0.5
# A peer that has been silent for this long no longer counts; seconds.
PEER_SECONDS = 1.5
# What another data centre adds to a target's load, in places: a tie-breaker.
REMOTE_PLACES = 0.5
# Weight of the newest time that a place was held.
HOLD_WEIGHT = 0.05
# Assumed time that a place is held before any was seen, seconds.
FIRST_HOLD_SECONDS = 0.5


@dataclass(eq=False)
class Ticket:
    """A request that wants a place at a target of a service.

    Parameters
    ----------
    tier : tuple of int
        Rank of the workspace and of the kind of request; the lowest is served
        first.
    arrived : float
        Monotonic time at which it arrived.
    avoid : frozenset of str
        Targets that it was sent to already.
    granted : callable
        Called without arguments when it gets a place.
    owner, data_centre : str
        Instance at which it waits, and where that runs.

    Attributes
    ----------
    target : str or None
        The target whose place it has got.
    coordinator : str
        Instance that is asked for the place.
    asked_at : float
        Monotonic time since which that instance is asked.
    """

    service: str
    tier: tuple[int, ...]
    arrived: float
    avoid: frozenset[str] = frozenset()
    granted: object = lambda: None
    owner: str = ""
    data_centre: str = ""
    number: int = 0
    target: str | None = None
    coordinator: str = ""
    asked_at: float = 0.0
    passed_over_at: float | None = None

    @property
    def kind(self):
        """Rank of the kind of request alone."""
        return self.tier[-1]

    @property
    def rank(self):
        """Order among the waiting."""
        return (self.tier, self.arrived, self.owner, self.number)


@dataclass
class Slot:
    """A target and what is known to run there.

    Parameters
    ----------
    record : TargetRecord
        As listed.
    """

    record: object
    health: Health = field(default_factory=Health)
    running_by_kind: Counter = field(default_factory=Counter)

    @property
    def running_here(self):
        """Requests of this instance that run there."""
        return self.running_by_kind.total()

    def limit(self, now):
        """Return the requests that all instances together may run there."""
        return 1 if self.health.is_sick(now) else self.record.slots


@dataclass(frozen=True)
class PeerLoad:
    """What one peer says that it runs and holds back.

    Parameters
    ----------
    heard_at : float
        Monotonic time of its arrival here.
    running_by_target : dict of str to dict of int to int
        Its requests by target and kind.
    tickets : tuple of Ticket
        Its waiting requests; times are of the clock here.
    confirmed : int
        Newest grant from here that it has received.
    """

    heard_at: float
    running_by_target: dict[str, dict[int, int]]
    tickets: tuple[Ticket, ...] = ()
    confirmed: int = 0


@dataclass(frozen=True)
class GivenPlace:
    """A place that was granted to a peer and is not confirmed yet."""

    number: int
    target: str
    kind: int
    at: float


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
        self.instances: list[str] = [self.instance]
        self.cold_rate_by_service: dict[str, float] = {}
        self.out_data_centres: frozenset[str] = frozenset()
        self.tickets_by_service: dict[str, list[Ticket]] = {}
        self.hold_by_service: dict[str, float] = {}
        self.heard_by_coordinator: dict[str, float] = {}
        self.suspect_until: dict[str, float] = {}
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

    def coordinator_of(self, service, now):
        """Return the instance that gives the places of a service."""
        candidates = [
            name
            for name in self.instances
            if name == self.instance or now >= self.suspect_until.get(name, 0.0)
        ]
        return min(
            candidates,
            key=lambda name: xxhash.xxh64_intdigest(f"{service}\0{name}".encode()),
        )

    def ask(self, ticket, now):
        """Let a request wait for a place."""
        ticket.number = next(self._numbers)
        ticket.owner = self.instance
        ticket.data_centre = self.data_centre
        ticket.coordinator = self.coordinator_of(ticket.service, now)
        ticket.asked_at = now
        tickets = self.tickets_by_service.setdefault(ticket.service, [])
        tickets.append(ticket)
        tickets.sort(key=lambda entry: entry.rank)

    def heard_from(self, coordinator, now):
        """Note that a coordinator has answered."""
        self.heard_by_coordinator[coordinator] = now
        self.suspect_until.pop(coordinator, None)

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
        for tickets in self.tickets_by_service.values():
            for ticket in tickets:
                if ticket.number == request and slot is not None:
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
        silent = set()
        for ticket in itertools.chain.from_iterable(self.tickets_by_service.values()):
            name = ticket.coordinator
            heard = max(ticket.asked_at, self.heard_by_coordinator.get(name, 0.0))
            if name != self.instance and now - heard > SILENT_SECONDS:
                silent.add(name)
                self.suspect_until[name] = now + SUSPECT_SECONDS
        for ticket in itertools.chain.from_iterable(self.tickets_by_service.values()):
            chosen = self.coordinator_of(ticket.service, now)
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
        heard = self.heard_by_coordinator.get(ticket.coordinator, 0.0)
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
            self.pace.sent(target, rate, self.instances, now)
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
        return [
            slot
            for slot in self.slot_by_target.values()
            if slot.record.service == service
            and not slot.record.leaving
            and slot.record.data_centre not in self.out_data_centres
            and not slot.health.is_paused(now)
        ]

    def _is_cold(self, slot, now):
        rate = self.cold_rate_by_service.get(slot.record.service, 0.0)
        return rate > 0.0 and now < slot.record.cold_until

    def _choose(self, ticket, running_elsewhere, now):
        """Return the slot where the request is expected to be answered first."""
        candidates = []
        for slot in self._usable(ticket.service, now):
            record = slot.record
            load = self._load(slot, running_elsewhere)
            if load >= slot.limit(now) or record.id in ticket.avoid:
                continue
            if self._is_cold(slot, now) and not self.pace.may_send(
                record.id,
                self.cold_rate_by_service[record.service],
                self.instances,
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
