"""Replays of refused callers that return when they are told to."""

import functools
import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field, replace

import pytest

from almondglade.placement.places import Ticket
from almondglade.placement.returns import (
    EXPIRY_SECONDS,
    MAX_OPEN_HERE,
    USABLE_SHARE,
    ReturnCalendar,
    max_wait_of_return,
)

from .placing import SERVICE, make_pools, record

WORKSPACES = 16
INSTANCES = 4
TARGETS, SLOTS_PER_TARGET = 20, 4
# The time in which a booking reaches the coordinator.
REPORT_SECONDS = 0.03
# The Retry-After without bookings: twice the objective, from 0.25 to 4 seconds.
PLAIN_OBJECTIVES, PLAIN_MIN_SECONDS, PLAIN_MAX_SECONDS = 2.0, 0.25, 4.0
MAX_WAIT_SHARE = 0.7


@dataclass(frozen=True)
class Kind:
    """A kind of request: its urgency, its size, and how long its callers wait."""

    name: str
    tier: int
    share: float
    hold_seconds: float
    objective: float
    time_limit: float


# Shares are of the offered work, in slot seconds.
KINDS = (
    Kind("fault log", 0, 0.3, 1.0, 0.8, 5.0),
    Kind("diagnosis", 1, 0.25, 0.5, 0.5, 3.0),
    Kind("chat", 2, 0.35, 1.6, 0.4, 15.0),
    Kind("release", 2, 0.05, 0.1, 0.4, 3.0),
    Kind("status", 2, 0.05, 0.1, 0.4, 3.0),
)


@dataclass
class Caller:
    """One caller's request over all its tries."""

    kind: Kind
    workspace: str
    fingerprint: int
    deadline: float
    arrived_at: float
    tries_left: int = 3
    was_booked: bool = False
    returned_booked: bool = False


@dataclass
class Replay:
    """Callers, instances with their calendars, and the targets of one coordinator."""

    seed: int
    is_booked: bool = True
    returns: float = 1.0
    lose_at: float = float("inf")
    counts: Counter = field(default_factory=Counter)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.pools = make_pools(
            *(record(f"t{i}", slots=SLOTS_PER_TARGET) for i in range(TARGETS))
        )
        self.calendars = [ReturnCalendar(f"e{i}") for i in range(INSTANCES)]
        self.events, self.numbers = [], itertools.count()
        self.caller_by_ticket = {}

    def push(self, at, action, *args):
        heapq.heappush(self.events, (at, next(self.numbers), action, args))

    def run(self, arrivals):
        for caller in arrivals:
            self.push(caller.arrived_at, self.arrive, caller)
        for second in range(1, 40):
            self.push(float(second), self.expire)
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            if self.now >= self.lose_at:
                self.lose_at = float("inf")
                self.pools.returns = ReturnCalendar("next coordinator")
            action(*args)
            self.match()
        return self.counts

    def expire(self):
        for calendar in (*self.calendars, self.pools.returns):
            calendar.expire(self.now)

    def arrive(self, caller):
        kind, now = caller.kind, self.now
        is_first = now == caller.arrived_at
        self.counts["asked", kind.name] += is_first
        # The booking of a coordinator that was lost promises nothing any more.
        caller.returned_booked, caller.was_booked = caller.was_booked, False
        self.counts["returned"] += caller.returned_booked
        entry = Ticket(
            SERVICE,
            (0, kind.tier),
            now,
            deadline=caller.deadline,
            workspace=caller.workspace,
            return_fingerprint=caller.fingerprint,
            tokens=round(1000 * kind.hold_seconds),
        )
        index = self.rng.randrange(INSTANCES)
        wait = self.pools.expected_wait(SERVICE, entry.tier, now)
        max_wait = MAX_WAIT_SHARE * kind.objective
        is_return = self.is_booked and self.pools.returns.claim(
            entry, caller.fingerprint, now
        )
        if is_return:
            max_wait = max(max_wait, max_wait_of_return(entry, now))
        elif wait > max_wait:
            self.refuse(caller, entry, index, wait)
            return
        self.pools.enqueue(entry, now)
        self.caller_by_ticket[entry] = (caller, index)
        self.push(now + max_wait, self.give_up, entry)

    def give_up(self, entry):
        if self.pools.withdraw(entry):
            caller, index = self.caller_by_ticket[entry]
            wait = self.pools.expected_wait(SERVICE, entry.tier, self.now)
            self.refuse(caller, entry, index, wait)

    def refuse(self, caller, entry, index, wait):
        now, kind = self.now, caller.kind
        self.counts["refused"] += 1
        self.counts["refused again"] += caller.returned_booked
        usable = USABLE_SHARE * (caller.deadline - now)
        seconds = max(wait, PLAIN_OBJECTIVES * kind.objective, PLAIN_MIN_SECONDS)
        seconds = min(seconds, PLAIN_MAX_SECONDS)
        caller.was_booked = not self.is_booked and seconds <= usable
        if self.is_booked:
            calendar = self.calendars[index]
            place = calendar.book(entry, wait, now)
            if place is not None:
                seconds, caller.was_booked = place.seconds, place.is_booked
            for booking in calendar.told(now)[:1]:
                copy = replace(booking, claim=None)
                self.push(now + REPORT_SECONDS, self.hear, copy)
        caller.tries_left -= 1
        if caller.tries_left and self.rng.random() < self.returns:
            self.push(now + min(seconds, usable), self.arrive, caller)
        else:
            self.counts["never served", kind.name] += 1

    def hear(self, booking):
        self.pools.returns.record([booking])

    def match(self):
        for granted, _ in self.pools.match(self.now):
            caller, index = self.caller_by_ticket[granted]
            calendar = self.calendars[index]
            calendar.rates.record(granted, self.now)
            self.counts["served", caller.kind.name] += 1
            self.counts["served first", caller.kind.name] += (
                granted.arrived_at == caller.arrived_at
            )
            self.push(
                self.now + caller.kind.hold_seconds,
                self.pools.release,
                granted,
                caller.kind.hold_seconds,
                self.now + caller.kind.hold_seconds,
            )


def heavy_load(seed, slots=TARGETS * SLOTS_PER_TARGET):
    """Yield callers at 60% of the capacity, 150% for 10 s, and in bursts there."""
    rng = random.Random(seed)
    fingerprints = itertools.count(1)
    for kind in KINDS:
        at = 0.0
        while at < 18.0:
            load = 1.5 if 3.0 <= at < 13.0 else 0.6
            # Every third second asks for half as much again as the two others.
            load *= (0.86, 0.86, 1.28)[int(at) % 3]
            at += rng.expovariate(load * slots * kind.share / kind.hold_seconds)
            yield Caller(
                kind,
                f"w{rng.randrange(WORKSPACES)}",
                next(fingerprints),
                at + kind.time_limit,
                at,
            )


@functools.cache
def replayed(seed, **changes):
    """Return the counts of a replay of the load."""
    return Replay(seed, **changes).run(heavy_load(seed))


def total(counts, name):
    return sum(count for key, count in counts.items() if key[0] == name)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_who_returns_as_told_is_rarely_refused_again(seed):
    plain = replayed(seed, is_booked=False)
    counts = replayed(seed)
    assert counts["returned"] > 100
    assert counts["refused again"] <= 0.1 * counts["returned"]
    # Without bookings, the same load refuses most of them again.
    assert plain["refused again"] > 0.1 * plain["returned"]
    assert total(counts, "never served") <= total(plain, "never served")
    for kind in KINDS:
        served = counts["served", kind.name]
        # More urgent tiers are served as before, and the least urgent one goes on.
        assert served >= (0.99 if kind.tier < 2 else 0.5) * plain["served", kind.name]


def test_a_lost_coordinator_takes_its_bookings_along_without_harm():
    whole = replayed(1)
    lost = replayed(1, lose_at=8.0)
    plain = replayed(1, is_booked=False)
    # No worse than without bookings.
    lost_share = lost["refused again"] / lost["returned"]
    assert lost_share <= plain["refused again"] / plain["returned"]
    assert total(lost, "never served") <= total(plain, "never served")
    assert total(lost, "served") >= 0.95 * total(whole, "served")


def test_room_of_callers_that_do_not_return_is_used_by_others():
    all_return = replayed(1)
    few_return = replayed(1, returns=0.2)
    # Slots never stay free for a booking, so first arrivals get what others leave.
    assert total(few_return, "served first") > total(all_return, "served first")
    assert few_return["refused again"] <= 0.1 * max(10, few_return["returned"])


def booked_ticket(fingerprint, now, workspace="w", limit=10.0, tokens=1):
    return Ticket(
        SERVICE,
        (0, 0),
        now,
        deadline=now + limit,
        workspace=workspace,
        tokens=tokens,
        return_fingerprint=fingerprint,
    )


def busy_calendar(rate=10.0):
    """Return the calendar of an instance that grants some requests per second."""
    calendar = ReturnCalendar("e1")
    for step in range(int(20 * rate)):
        calendar.rates.record(booked_ticket(0, 0.0), step / rate - 20.0)
    return calendar


def test_bookings_are_bounded_and_expire():
    calendar = busy_calendar()
    times = [
        calendar.book(booked_ticket(number, 0.0, limit=1e3), 0.0, 0.0)
        for number in range(1, 2 * MAX_OPEN_HERE)
    ]
    assert sum(time.is_booked for time in times) == MAX_OPEN_HERE
    booked = [time.seconds for time in times if time.is_booked]
    # Half of the ten requests per second.
    assert min(b - a for a, b in itertools.pairwise(booked)) > 0.15
    assert calendar.expire(booked[0] + EXPIRY_SECONDS + 0.01)
    assert calendar.count_open() == MAX_OPEN_HERE - 1
    calendar.expire(booked[-1] + EXPIRY_SECONDS + 0.01)
    assert calendar.count_open() == 0


def test_who_cannot_use_the_next_room_gets_no_booking():
    calendar = busy_calendar()
    refused = calendar.book(booked_ticket(1, 0.0, limit=1.5), 0.8, 0.0)
    assert not refused.is_booked
    assert refused.seconds == pytest.approx(0.8)
    assert calendar.count_open() == 0
    # Nothing is known of a service without grants.
    assert ReturnCalendar("e2").book(booked_ticket(1, 0.0), 0.8, 0.0) is None


def test_a_workspace_leaves_room_between_its_bookings_for_others():
    calendar = busy_calendar()
    for number in range(1, 30):
        calendar.book(booked_ticket(number, 0.0, "flood", 60.0), 0.0, 0.0)
    calendar.book(booked_ticket(100, 0.0, "small", 60.0), 0.0, 0.0)
    flood = [
        calendar.book(booked_ticket(number, 0.0, "flood", 60.0), 0.0, 0.0).seconds
        for number in range(30, 33)
    ]
    small = calendar.book(booked_ticket(101, 0.0, "small", 60.0), 0.0, 0.0).seconds
    assert small < flood[-1]


def test_a_return_is_recognised_once_and_not_too_early():
    calendar = busy_calendar()
    seconds = calendar.book(booked_ticket(7, 0.0), 0.0, 0.0).seconds
    early = replace(booked_ticket(7, 0.1), may_be_return=True)
    assert calendar.claim(early, "a", 0.1) is None
    told = calendar.book(early, 0.0, 0.1)
    assert told.is_early
    assert told.seconds == pytest.approx(seconds - 0.1)
    first, second = booked_ticket(7, seconds), booked_ticket(7, seconds)
    assert calendar.claim(first, "a", seconds)
    assert calendar.claim(first, "a", seconds + 0.1)
    assert calendar.claim(second, "b", seconds) is None
    assert first.rank < second.rank < replace(first, tier=(0, 1)).rank
    urgent = replace(second, tier=(-1, 0))
    assert urgent.rank < first.rank


def test_a_cut_between_two_instances_leaves_a_return_to_the_usual_order():
    here, beyond = busy_calendar(), ReturnCalendar("e2")
    seconds = here.book(booked_ticket(7, 0.0), 0.0, 0.0).seconds
    (booking,) = here.told(0.0)
    # The report is lost: the other side treats the return as a new request.
    entry = booked_ticket(7, seconds)
    assert beyond.claim(entry, "a", seconds) is None
    assert not entry.is_return
    # After the cut, repeated reports add it once; its owner's new start drops it.
    copy = replace(booking, owner="e1")
    beyond.record([copy, copy])
    beyond.record([copy])
    assert beyond.open_ahead(SERVICE, (0, 0), 0.0) == 1
    beyond.forget("e1")
    assert beyond.claim(entry, "a", seconds) is None
    assert beyond.open_ahead(SERVICE, (0, 0), 0.0) == 0
