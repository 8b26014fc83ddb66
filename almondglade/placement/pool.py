"""Decide which waiting request gets which target's next free place.

Load pattern: several times more work arrives than the targets bear, by way of
every instance at once. Work waits here and not in the targets' own queues,
which know no tiers; a place that becomes free goes to the best waiting request
of the whole fleet, since instances tell each other what runs and what waits.
"""

import itertools
from dataclasses import dataclass, field

from .health import Health

# A free place that the instance with the better request leaves unused for this
# long is taken by the next; a few one-way delays between data centres.
YIELD_SECONDS = 0.05
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
        Rank; the lowest is served first.
    arrived : float
        Monotonic time at which it arrived here.
    avoid : frozenset of str
        Targets that it was sent to already.

    Attributes
    ----------
    target : str or None
        The target whose place it has got.
    granted : object
        Called without arguments when it gets a place.
    """

    service: str
    tier: tuple[int, ...]
    arrived: float
    avoid: frozenset[str] = frozenset()
    granted: object = lambda: None
    target: str | None = None
    passed_over_at: float | None = None
    number: int = 0

    @property
    def rank(self):
        """Order among the waiting."""
        return (self.tier, self.arrived, self.number)


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
    running_here: int = 0

    def limit(self, now):
        """Return the requests that all instances together may run there."""
        return 1 if self.health.is_sick(now) else self.record.slots


@dataclass(frozen=True)
class Waiters:
    """Requests of one tier that wait at a peer for one service.

    Parameters
    ----------
    oldest : float
        Monotonic time here at which the first of them arrived.
    """

    service: str
    tier: tuple[int, ...]
    count: int
    oldest: float


@dataclass(frozen=True)
class PeerLoad:
    """What one peer says that it runs and holds back.

    Parameters
    ----------
    heard_at : float
        Monotonic time of its arrival here.
    """

    heard_at: float
    running_by_target: dict[str, int]
    waiters: tuple[Waiters, ...] = ()


class Pools:
    """Places of all targets and the requests that wait for them.

    Not safe for threads; the owner holds a lock.

    Parameters
    ----------
    data_centre : str
        Where this instance runs.
    pace : ColdPace
        Bounds requests to cold targets.
    """

    def __init__(self, data_centre, pace):
        self.data_centre = data_centre
        self.pace = pace
        self.slot_by_target: dict[str, Slot] = {}
        self.load_by_peer: dict[str, PeerLoad] = {}
        self.instances: list[str] = [pace.instance]
        self.cold_rate_by_service: dict[str, float] = {}
        self.out_data_centres: frozenset[str] = frozenset()
        self.tickets_by_service: dict[str, list[Ticket]] = {}
        self.hold_by_service: dict[str, float] = {}
        self._numbers = itertools.count()

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

    def ask(self, ticket):
        """Let a request wait for a place."""
        ticket.number = next(self._numbers)
        tickets = self.tickets_by_service.setdefault(ticket.service, [])
        tickets.append(ticket)
        tickets.sort(key=lambda entry: entry.rank)

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
            slot.running_here = max(0, slot.running_here - 1)
        if held is not None:
            mean = self.hold_by_service.get(ticket.service, FIRST_HOLD_SECONDS)
            mean += HOLD_WEIGHT * (held - mean)
            self.hold_by_service[ticket.service] = mean

    def match(self, now):
        """Give free places to waiting requests; return those that got one."""
        return [
            ticket
            for service in list(self.tickets_by_service)
            for ticket in self._match_service(service, now)
        ]

    def _match_service(self, service, now):
        tickets = self.tickets_by_service[service]
        if not tickets:
            return
        running_elsewhere = self._running_elsewhere(now)
        foreign = [
            waiters
            for load in self.load_by_peer.values()
            if now - load.heard_at <= PEER_SECONDS
            for waiters in load.waiters
            if waiters.service == service
        ]
        for ticket in list(tickets):
            free = self._free(service, running_elsewhere, now)
            if free <= 0:
                break
            if self._count_ahead(ticket, foreign) >= free:
                if ticket.passed_over_at is None:
                    ticket.passed_over_at = now
                if now - ticket.passed_over_at < YIELD_SECONDS:
                    continue
            slot = self._choose(ticket, running_elsewhere, now)
            if slot is None:
                continue
            tickets.remove(ticket)
            slot.running_here += 1
            if self._is_cold(slot, now):
                rate = self.cold_rate_by_service[service]
                self.pace.sent(slot.record.id, rate, self.instances, now)
            ticket.target = slot.record.id
            yield ticket

    def _running_elsewhere(self, now):
        running: dict[str, int] = {}
        for load in self.load_by_peer.values():
            if now - load.heard_at <= PEER_SECONDS:
                for target, count in load.running_by_target.items():
                    running[target] = running.get(target, 0) + count
        return running

    @staticmethod
    def _count_ahead(ticket, foreign):
        return sum(
            waiters.count
            if waiters.tier < ticket.tier
            else int(waiters.tier == ticket.tier and waiters.oldest < ticket.arrived)
            for waiters in foreign
        )

    def _free(self, service, running_elsewhere, now):
        return sum(
            max(0, slot.limit(now) - self._load(slot, running_elsewhere))
            for slot in self._usable(service, now)
        )

    @staticmethod
    def _load(slot, running_elsewhere):
        return slot.running_here + running_elsewhere.get(slot.record.id, 0)

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
            remote = record.data_centre != self.data_centre
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
        running_elsewhere = self._running_elsewhere(now)
        if self._free(service, running_elsewhere, now) > 0:
            return 0.0
        own = sum(
            ticket.tier <= tier for ticket in self.tickets_by_service.get(service, ())
        )
        others = sum(
            waiters.count
            for load in self.load_by_peer.values()
            if now - load.heard_at <= PEER_SECONDS
            for waiters in load.waiters
            if waiters.service == service and waiters.tier <= tier
        )
        return (own + others + 1) * self.hold(service) / places

    def hold(self, service):
        """Return the mean seconds for which a place is held."""
        return self.hold_by_service.get(service, FIRST_HOLD_SECONDS)

    def running_here(self):
        """Return the requests of this instance by target."""
        return {
            name: slot.running_here
            for name, slot in self.slot_by_target.items()
            if slot.running_here
        }

    def waiting_here(self):
        """Return what waits here as (service, tier, count, oldest arrival)."""
        waiting: dict[tuple[str, tuple[int, ...]], list[float]] = {}
        for service, tickets in self.tickets_by_service.items():
            for ticket in tickets:
                waiting.setdefault((service, ticket.tier), []).append(ticket.arrived)
        return [
            (service, tier, len(arrivals), min(arrivals))
            for (service, tier), arrivals in waiting.items()
        ]
