"""Queue order: strict priority of tiers, and fair shares within a tier."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from almondglade.coordinator.queues import WaitingDemand
from almondglade.messages import Demand
from almondgladeplug.queues import TieredQueue, cost

SIZES = st.integers(1, 1000)


def waiting_demand(number, workspace, tier, tokens, arrived_at=0.0):
    demand = Demand(f"r{number}", "drafts", workspace, tier, output_tokens=tokens)
    return WaitingDemand("e1", demand, arrived_at, arrived_at + 10)


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from("abc"), st.integers(0, 3), SIZES),
        st.sampled_from(["pop", "shed"]),
    ),
    max_size=60,
)


@given(OPERATIONS)
def test_a_lower_tier_is_never_served_before_nor_shed_after_a_higher_one(operations):
    queue = TieredQueue()
    numbers = itertools.count()
    for operation in operations:
        tiers = [w.demand.tier for w in queue]
        if operation == "pop" and tiers:
            expected = queue.peek()
            assert queue.pop() is expected
            assert expected.demand.tier == min(tiers)
        elif operation == "shed" and tiers:
            victim = queue.victim()
            assert victim.demand.tier == max(tiers)
            assert queue.remove(victim.demand.request_id) is victim
        elif isinstance(operation, tuple):
            workspace, tier, tokens = operation
            queue.push(
                waiting_demand(next(numbers), f"{workspace}{tier}", tier, tokens)
            )
        assert len(queue) == len(list(queue))


@given(
    st.lists(st.tuples(st.sampled_from("ab"), SIZES), min_size=2, max_size=60),
)
def test_waiting_workspaces_are_served_equal_tokens(demands):
    queue = TieredQueue()
    for number, (workspace, tokens) in enumerate(demands):
        queue.push(waiting_demand(number, workspace, 0, tokens))
    largest = {
        name: max((t for w, t in demands if w == name), default=0) for name in "ab"
    }
    served = dict.fromkeys("ab", 0)
    while {w.demand.workspace for w in queue} == {"a", "b"}:
        demand = queue.pop().demand
        served[demand.workspace] += cost(demand)
        assert abs(served["a"] - served["b"]) <= largest["a"] + largest["b"]


def test_the_workspace_with_the_most_waiting_tokens_is_shed_first():
    queue = TieredQueue()
    for number in range(5):
        queue.push(waiting_demand(number, "large", 0, 100, number))
    queue.push(waiting_demand(9, "small", 0, 100, 9))
    assert queue.victim().demand.request_id == "r4"
