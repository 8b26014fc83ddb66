"""Second copies of late requests: replays of their load, without a network."""

import heapq
import itertools
import random
from types import SimpleNamespace

import pytest

from almondglade.catalogue import Route
from almondglade.gateway.hedging import Hedging
from almondglade.gateway.settings import Features
from almondglade.placement.hedging import (
    HedgeBudget,
    HedgeDelays,
    Withheld,
    find_target,
)
from almondglade.placement.resends import RetryBudget

from .placing import SERVICE, make_pools, record, ticket

WINDOW_SECONDS = 10.0
SHARE = 0.05
TARGETS, SLOTS = 4, 4
USUAL_SECONDS, SLOW_SECONDS = 0.05, 0.5
SLOW_SHARE = 1 / 50
MEAN_SECONDS = USUAL_SECONDS + SLOW_SHARE * (SLOW_SECONDS - USUAL_SECONDS)
CAPACITY = TARGETS * SLOTS / MEAN_SECONDS
MAX_WAIT_SECONDS = 0.35
HEDGE_TIER = 1 << 20


class Replay:
    """Targets of which one in fifty answers is ten times slower than the others."""

    def __init__(self, seconds, load, share, delay=None):
        self.rng = random.Random(7)
        names = [f"t{number:02}" for number in range(TARGETS)]
        self.pools = make_pools(*(record(name, slots=SLOTS) for name in names))
        self.budget = HedgeBudget(share, WINDOW_SECONDS)
        self.retries = RetryBudget(0.2, 50.0, WINDOW_SECONDS)
        self.delays = HedgeDelays(share)
        self.fixed_delay = delay
        self.events, self.numbers = [], itertools.count()
        self.times, self.copies = [], []
        self.requests = self.hedges = self.refused = 0
        rate = load * CAPACITY
        for number in range(int(rate * seconds)):
            self.at(number / rate, self.arrive)
        while self.events:
            now, _, event, *arguments = heapq.heappop(self.events)
            event(now, *arguments)
            for granted, _ in self.pools.match(now):
                granted.on_granted(now)

    def at(self, when, event, *arguments):
        heapq.heappush(self.events, (when, next(self.numbers), event, *arguments))

    def arrive(self, now):
        self.requests += 1
        self.budget.count_request(SERVICE, now)
        self.retries.count_request(SERVICE, now)
        request = SimpleNamespace(arrived_at=now, running=[])
        first = ticket((0, 0), now)
        first.on_granted = lambda at: self.start_first(at, request, first)
        self.pools.enqueue(first, now)
        self.at(now + MAX_WAIT_SECONDS, self.expire, first)

    def expire(self, now, first):
        self.refused += self.pools.withdraw(first)

    def start_first(self, now, request, first):
        request.started_at = now
        self.start(now, request, first)
        delay = self.fixed_delay
        if delay is None:
            delay = self.delays.delay("r", now)
        if delay is not None:
            self.at(now + delay, self.hedge, request, first)

    def start(self, now, request, entry):
        seconds = USUAL_SECONDS * self.rng.uniform(0.8, 1.2)
        if self.rng.random() < SLOW_SHARE:
            seconds *= SLOW_SECONDS / USUAL_SECONDS
        request.running.append(entry)
        self.at(now + seconds, self.end, request)

    def hedge(self, now, request, first):
        if not request.running or not (
            self.budget.has_room(SERVICE, now)
            and self.retries.has_spare_room(SERVICE, 1, now)
        ):
            return
        excluded, withheld = find_target(self.pools, SERVICE, {first.target}, now)
        if withheld is not None:
            return
        copy = ticket((HEDGE_TIER, 0), now, attempted_targets=excluded)
        copy.on_granted = lambda at: None
        self.pools.enqueue(copy, now)
        self.pools.match(now)
        if self.pools.withdraw(copy):
            return
        assert copy.target != first.target
        assert self.retries.spend_spare(SERVICE, 1, now)
        self.budget.record_sent(SERVICE, now)
        self.hedges += 1
        self.start(now, request, copy)

    def end(self, now, request):
        """Take the first answer, and end the other copy."""
        if not request.running:
            return
        self.delays.record("r", now - request.started_at, now)
        self.times.append(now - request.arrived_at)
        for entry in request.running:
            self.pools.release(entry, None, now)
        request.running = []

    def quantile(self, share):
        return sorted(self.times)[int(share * len(self.times))]


def test_the_slowest_answers_come_sooner_within_the_share():
    without, with_hedges = Replay(15.0, 0.5, 0.0), Replay(15.0, 0.5, SHARE)
    assert without.hedges == 0
    assert with_hedges.refused == without.refused == 0
    assert 0 < with_hedges.hedges <= SHARE * with_hedges.requests
    assert with_hedges.quantile(0.5) <= without.quantile(0.5) * 1.05
    assert with_hedges.quantile(0.99) <= without.quantile(0.99) / 2
    assert with_hedges.quantile(0.999) < without.quantile(0.999)


@pytest.mark.parametrize("share", [SHARE, 1.0])
def test_a_wrong_delay_does_no_harm_at_overload(share):
    without, with_hedges = Replay(2.0, 1.2, 0.0), Replay(2.0, 1.2, share, 0.001)
    served, usual = len(with_hedges.times), len(without.times)
    assert served >= 0.99 * usual
    assert with_hedges.quantile(0.99) <= 1.05 * without.quantile(0.99)


class Instance:
    """An instance that sends as many hedges as it may."""

    def __init__(self):
        self.budget = HedgeBudget(SHARE, WINDOW_SECONDS)
        self.retries = RetryBudget(0.2, 58.0, WINDOW_SECONDS)

    def handle(self, now, fleet_size):
        self.budget.count_request(SERVICE, now)
        self.retries.count_request(SERVICE, now)
        hedges = 0
        while self.budget.has_room(SERVICE, now) and self.retries.spend_spare(
            SERVICE, fleet_size, now
        ):
            self.budget.record_sent(SERVICE, now)
            hedges += 1
        return hedges


@pytest.mark.parametrize("seed", range(3))
def test_the_share_holds_while_instances_join_leave_and_lose_each_other(seed):
    rng = random.Random(seed)
    instances = [Instance() for _ in range(5)]
    requests, hedges = [], []
    size_seen = 5
    for step in range(8_000):
        now = step / 80
        if rng.random() < 0.005:
            match rng.choice(["join", "leave", "restart", "partition"]):
                case "join":
                    instances.append(Instance())
                case "leave" if len(instances) > 1:
                    instances.pop(rng.randrange(len(instances)))
                case "restart":
                    instances[rng.randrange(len(instances))] = Instance()
                case "partition":
                    size_seen = rng.choice([1, 2, 5])
        # Some instances get far more requests than others.
        instance = instances[min(int(rng.expovariate(1.0)), len(instances) - 1)]
        requests.append(now)
        hedges += [now] * instance.handle(now, size_seen)
        assert len(hedges) <= SHARE * len(requests)
    assert len(hedges) >= 0.5 * SHARE * len(requests)
    for start in range(0, 80, 5):
        inside = [start < at <= start + WINDOW_SECONDS for at in hedges]
        before = [start - WINDOW_SECONDS < at <= start + 10 for at in requests]
        assert sum(inside) <= SHARE * sum(before)


def test_retries_find_half_of_their_budget_whatever_hedges_use():
    used, fresh = (RetryBudget(0.2, 50.0, WINDOW_SECONDS) for _ in range(2))
    for budget in (used, fresh):
        for _ in range(1000):
            budget.count_request(SERVICE, 0.0)
    hedges = sum(used.spend_spare(SERVICE, 1, 1.0) for _ in range(1000))
    retries = sum(used.spend(SERVICE, 1, 1.0) for _ in range(1000))
    assert hedges + retries == sum(fresh.spend(SERVICE, 1, 1.0) for _ in range(1000))
    assert retries >= hedges > 0
    assert not used.spend_spare(SERVICE, 1, 1.0)


def test_a_delay_is_learned_from_enough_recent_answers():
    delays = HedgeDelays(0.02)
    for number in range(99):
        delays.record("r", number / 1000, 0.0)
    assert delays.delay("r", 0.0) is None
    delays.record("r", 0.099, 0.0)
    assert delays.delay("r", 1.0) == pytest.approx(0.097)
    assert delays.delay("other", 1.0) is None
    assert delays.delay("r", 100.0) is None


@pytest.mark.parametrize(
    "change",
    [
        lambda state: setattr(state, "has_said_leaving", True),
        lambda state: setattr(state, "backs_off_until", 9.0),
        lambda state: setattr(state.health, "is_unhealthy", lambda now: True),
        lambda state: setattr(state, "running_here", state.record.slots),
        lambda state: setattr(state.health, "paused_until", 9.0),
        lambda state: state.named_rate.record(5.0, 0.0, 0.0, is_failure=False),
        lambda state: state.room.record(3.0, 0.0, 0.0),
        lambda state: setattr(state, "record", record("t2", cold_until=9.0)),
    ],
    ids="leaving backing-off limited full paused rate brittle cold".split(),
)
def test_no_hedge_goes_to_a_target_that_is_not_sound(change):
    pools = make_pools(record("t1"), record("t2"))
    assert find_target(pools, SERVICE, {"t1"}, 1.0) == (frozenset({"t1"}), None)
    change(pools.targets.state_by_target["t2"])
    assert find_target(pools, SERVICE, {"t1"}, 1.0)[1] in (
        Withheld.NO_TARGET,
        Withheld.OVER_CAPACITY,
    )


def test_no_hedge_runs_while_requests_wait():
    pools = make_pools(record("t1"), record("t2"))
    pools.enqueue(ticket(), 0.0)
    assert find_target(pools, SERVICE, {"t1"}, 0.0)[1] is Withheld.OVER_CAPACITY


@pytest.mark.parametrize(
    ("terms", "applies"),
    [
        ({"idempotent": True}, True),
        ({"idempotent": True, "max_attempts": 1}, False),
        ({"idempotent": True, "streaming": True}, False),
        ({"streaming": True, "resumable": True}, False),
        ({}, False),
    ],
)
def test_only_routes_that_allow_repetition_have_hedges(terms, applies):
    route = Route("r", "h", "/", {"s": 1.0}, **{"max_attempts": 3} | terms)
    request = SimpleNamespace(route=route, method="GET", relayed_by="")
    assert Hedging.applies_to(request) is applies
    assert Features().hedge_share == 0.0
