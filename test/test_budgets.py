"""Plans are enforced across takeovers and network partitions."""

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


class PlanSimulation:
    """Simulation of a workspace that requests far more than its plan."""

    def __init__(self, seed, rate, burst):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.allowance = Allowance(
            concurrent=1000, tokens_per_minute=rate * 60, burst_seconds=burst
        )
        self.ledgers = [SpendLedger(self.clock) for _ in range(3)]
        self.largest_request = 0
        self.used_tokens = 0.0
        self.tables = {1.0: BudgetTable(self.clock)}

    def take_over(self):
        """Start new coordinators with the usage that the entries hand over."""
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
            self.used_tokens += used
            self.largest_request = max(self.largest_request, tokens)

    def plan_tokens(self):
        """Return the tokens that the plan has granted so far, the burst included."""
        rate = self.allowance.tokens_per_minute / 60
        return rate * (self.clock() - 100.0 + self.allowance.burst_seconds)


CASES = given(st.integers(0, 10**6), st.integers(5, 100), st.floats(1, 30))


@CASES
def test_takeovers_exceed_a_plan_by_at_most_one_request_per_coordinator(
    seed, rate, burst
):
    simulation = PlanSimulation(seed, rate, burst)
    coordinators = 1
    for _ in range(STEPS):
        if simulation.rng.random() < 0.05:
            simulation.take_over()
            coordinators += 1
        simulation.step()
        assert simulation.used_tokens <= simulation.plan_tokens() + coordinators * (
            simulation.largest_request + 1
        )


@CASES
def test_partitions_exceed_a_plan_by_at_most_one_request_per_side(seed, rate, burst):
    simulation = PlanSimulation(seed, rate, burst)
    simulation.tables = {
        fraction: BudgetTable(simulation.clock) for fraction in (5 / 9, 4 / 9)
    }
    for _ in range(STEPS):
        simulation.step()
        assert (
            simulation.used_tokens
            <= simulation.plan_tokens() + 2 * simulation.largest_request + 2
        )


def test_a_changed_plan_applies_to_the_next_request():
    clock = FakeClock()
    table = BudgetTable(clock)
    unlimited = Allowance(concurrent=4)
    limited = Allowance(concurrent=4, tokens_per_minute=60, burst_seconds=1)
    assert table.admit("w", unlimited, 1000) is None
    assert table.admit("w", limited, 1) is None
    assert table.admit("w", limited, 1) == pytest.approx(1.0)
    assert table.admit("w", unlimited, 1000) is None
    assert table.admit("w", Allowance(concurrent=3), 1) is not None


def test_a_request_larger_than_the_burst_is_delayed_but_not_blocked():
    clock = FakeClock()
    table = BudgetTable(clock)
    plan = Allowance(tokens_per_minute=600, burst_seconds=10)
    assert table.admit("w", plan, 1000) is None
    wait = table.admit("w", plan, 1000)
    assert wait == pytest.approx(100.0)
    clock.now += wait
    assert table.admit("w", plan, 1000) is None


def test_a_new_coordinator_allocates_whole_plans_while_its_entries_join():
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
    assert refused() == 8, "with one of nine entries, a ninth of the plan is allocated"
