"""What a plan lets through, over coordinators that change or are cut off."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade import messages as m
from almondglade.coordinator.budgets import BudgetTable
from almondglade.coordinator.pool import JOIN_GRACE_SECONDS
from almondglade.declarations.models import Allowance
from almondglade.spends import SpendLedger

from .coordinating import FakeClock, declare, demand, make_coordinator, sent

STEPS = 300


class Draws:
    """A workspace that asks for far more than its plan."""

    def __init__(self, seed, rate, burst):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.allowance = Allowance(
            concurrent=1000, tokens_per_minute=rate * 60, burst_seconds=burst
        )
        self.ledgers = [SpendLedger(self.clock) for _ in range(3)]
        self.largest = 0
        self.drawn = 0.0
        self.tables = {1.0: BudgetTable(self.clock)}

    def take_over(self):
        """Start another coordinator from what the entries carry."""
        for fraction in self.tables:
            self.tables[fraction] = BudgetTable(self.clock)
        for ledger in self.ledgers:
            for spend in ledger.carried():
                for fraction, table in self.tables.items():
                    table.charge("w", self.allowance, fraction, spend.tokens, 0)

    def step(self):
        self.clock.now += self.rng.expovariate(5.0)
        tokens = self.rng.randint(1, 200)
        fraction, table = self.rng.choice(list(self.tables.items()))
        if table.admit("w", self.allowance, tokens, fraction) is None:
            used = self.rng.randint(0, tokens)
            table.settle("w", tokens, used, True)
            self.rng.choice(self.ledgers).add("w", used, 1)
            self.drawn += used
            self.largest = max(self.largest, tokens)

    def plan(self):
        rate = self.allowance.tokens_per_minute / 60
        return rate * (self.clock() - 100.0 + self.allowance.burst_seconds)


CASES = given(st.integers(0, 10**6), st.integers(5, 100), st.floats(1, 30))


@CASES
def test_a_plan_is_kept_to_one_request_for_each_coordinator(seed, rate, burst):
    draws = Draws(seed, rate, burst)
    coordinators = 1
    for _ in range(STEPS):
        if draws.rng.random() < 0.05:
            draws.take_over()
            coordinators += 1
        draws.step()
        assert draws.drawn <= draws.plan() + coordinators * (draws.largest + 1)


@CASES
def test_sides_of_a_partition_keep_the_plan_to_one_request_each(seed, rate, burst):
    draws = Draws(seed, rate, burst)
    draws.tables = {f: BudgetTable(draws.clock) for f in (5 / 9, 4 / 9)}
    for _ in range(STEPS):
        draws.step()
        assert draws.drawn <= draws.plan() + 2 * draws.largest + 2


def test_a_changed_plan_is_in_force_with_the_next_request():
    clock = FakeClock()
    table = BudgetTable(clock)
    free = Allowance(concurrent=4)
    tight = Allowance(concurrent=4, tokens_per_minute=60, burst_seconds=1)
    assert table.admit("w", free, 1000) is None
    assert table.admit("w", tight, 1) is None
    assert table.admit("w", tight, 1) == pytest.approx(1.0)
    assert table.admit("w", free, 1000) is None
    assert table.admit("w", Allowance(concurrent=3), 1) is not None


def test_a_request_larger_than_the_burst_is_slowed_and_not_barred():
    clock = FakeClock()
    table = BudgetTable(clock)
    plan = Allowance(tokens_per_minute=600, burst_seconds=10)
    assert table.admit("w", plan, 1000) is None
    wait = table.admit("w", plan, 1000)
    assert wait == pytest.approx(100.0)
    clock.now += wait
    assert table.admit("w", plan, 1000) is None


def test_a_new_coordinator_gives_out_whole_plans_until_its_entries_have_come():
    clock = FakeClock()
    coordinator = make_coordinator(clock, declare(concurrent=9), published=9)
    coordinator.join("e1", m.Join("drafts"))

    def refused():
        for _ in range(9):
            coordinator.submit("e1", demand())
        return len(sent(coordinator, m.Refusal))

    assert refused() == 0
    clock.now += JOIN_GRACE_SECONDS
    for waiting in coordinator.waiting_demands.of_entry("e1"):
        coordinator.withdraw("e1", m.Withdrawal(waiting.demand.request_id, "drafts"))
    assert refused() == 8, "one of nine entries gives out a ninth"
