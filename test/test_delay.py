"""Expected delay and Retry-After."""

import math
from dataclasses import replace

import numpy as np
import orjson
from hypothesis import given
from hypothesis import strategies as st

from almondglade.coordinator.delay import MAX_RETRY_AFTER_SECONDS, DelayEstimator
from almondglade.coordinator.targets import TargetRecord
from almondgladeplug.limits import FixedLimit
from almondgladeplug.queues import TieredQueue

from .modelled import FakeClock
from .test_queues import waiting_demand

AHEAD = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(0, 2), st.integers(1, 1000)),
    max_size=30,
)


def make_estimator(pace=0.01, limit=10):
    clock = FakeClock()
    policy = FixedLimit("d1", limit, clock)
    policy.baseline = pace
    record = TargetRecord("d1", policy, 300.0)
    return DelayEstimator(clock, np.random.default_rng(1)), [record]


def queue_of(ahead):
    queue = TieredQueue()
    for number, (workspace, tier, tokens) in enumerate(ahead):
        queue.push(waiting_demand(number, workspace, tier, tokens))
    return queue


@given(AHEAD, AHEAD, st.integers(0, 2))
def test_a_longer_queue_never_shortens_the_delay(ahead, more, tier):
    new = waiting_demand(999, "a", tier, 100)
    short = make_estimator()[0].estimate(queue_of(ahead), new, make_estimator()[1])
    long = make_estimator()[0].estimate(
        queue_of(ahead + more), new, make_estimator()[1]
    )
    assert 0 <= short <= long < math.inf


@given(AHEAD, st.sampled_from([0.0, 1e-6, 0.01, 100.0]), st.integers(0, 2))
def test_retry_after_is_positive_and_bounded(ahead, pace, tier):
    estimator, targets = make_estimator(pace)
    seconds = estimator.retry_after(
        queue_of(ahead), waiting_demand(9, "a", tier, 9), targets
    )
    assert 0 < seconds <= 2 * MAX_RETRY_AFTER_SECONDS


def test_retry_after_can_be_encoded_as_json():
    estimator, targets = make_estimator(pace=np.float64(0.01))
    queue = queue_of([("a", 0, 500)] * 40)
    seconds = estimator.retry_after(queue, waiting_demand(9, "a", 0, 9), targets)
    assert orjson.loads(orjson.dumps(seconds)) == seconds


def test_the_delay_is_the_work_ahead_divided_by_the_speed():
    estimator, targets = make_estimator(pace=0.01, limit=10)  # 1000 tokens per second
    queue = queue_of([("a", 0, 500)] * 4 + [("a", 2, 900)] * 50)
    assert estimator.estimate(queue, waiting_demand(9, "a", 0, 1), targets) == 2.0


def test_a_small_workspace_does_not_wait_behind_a_flooding_one():
    estimator, targets = make_estimator()
    queue = queue_of([("flood", 0, 500)] * 40)
    assert estimator.estimate(queue, waiting_demand(9, "small", 0, 500), targets) <= 1.0
    assert (
        estimator.estimate(queue, waiting_demand(9, "flood", 0, 500), targets) == 20.0
    )


def test_retry_after_is_spread_over_refused_callers():
    estimator, targets = make_estimator()
    queue = queue_of([("a", 0, 500)] * 40)
    new = waiting_demand(9, "a", 0, 100)
    returns = [estimator.retry_after(queue, new, targets) for _ in range(20)]
    assert max(returns) - min(returns) > 0.2 * min(returns)


def test_arrivals_of_higher_tiers_lengthen_the_delay_of_a_lower_one():
    estimator, targets = make_estimator()
    queue = queue_of([("a", 2, 500)] * 4)
    low = waiting_demand(9, "a", 2, 100)
    before = estimator.estimate(queue, low, targets)
    high = waiting_demand(10, "b", 0, 900)
    for _ in range(3):
        estimator.estimate(queue, replace(high), targets)
    assert estimator.estimate(queue, low, targets) > 1.5 * before
