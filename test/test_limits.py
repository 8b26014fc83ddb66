"""Concurrency limits learnt from completed runs."""

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade.messages import Completion, Grant, Join, LoadReport, Result
from almondgladeplug.limits import AdaptiveLimit

from .coordinating import declare, demand, make_coordinator
from .modelled import FakeClock, SimulatedEngine, drive

MAXIMUM = 64
COMPLETIONS = st.builds(
    Completion,
    st.just("r"),
    st.just("drafts"),
    st.sampled_from(Result),
    input_tokens=st.integers(0, 1000),
    output_tokens=st.integers(0, 1000),
    first_token=st.floats(0, 1),
    duration=st.floats(0, 100),
)


def learn_limit(knee=8, seed=1, seconds=30, **settings):
    """Return an engine, its limit and the generator after some time at full load."""
    clock = FakeClock()
    engine = SimulatedEngine(clock, knee)
    limit = AdaptiveLimit("d1", MAXIMUM, clock)
    for name, value in settings.items():
        setattr(limit, name, value)
    rng = np.random.default_rng(seed)
    for _ in drive(engine, limit, rng, seconds):
        pass
    return engine, limit, rng


@given(st.lists(st.tuples(COMPLETIONS, st.integers(1, 80), st.floats(0, 5))))
def test_the_limit_stays_between_one_and_the_declared_maximum(runs):
    clock = FakeClock()
    limit = AdaptiveLimit("d1", 16, clock)
    limit.observe_epoch("1")
    for completion, running, pause in runs:
        clock.now += pause
        limit.complete(completion, running)
        assert 1 <= limit.current <= 16
    limit.observe_epoch("2")
    assert limit.current == 1


@pytest.mark.parametrize("knee", [4, 8, 16])
@pytest.mark.parametrize("seed", range(3))
def test_the_limit_rises_to_the_knee_and_keeps_the_throughput(knee, seed):
    engine, limit, rng = learn_limit(knee, seed)
    before, began = engine.completed_tokens, engine.clock()
    for _ in drive(engine, limit, rng, 60):
        pass
    throughput = (engine.completed_tokens - before) / (engine.clock() - began)
    assert throughput >= 0.92 * engine.capacity


@pytest.mark.parametrize("slow", [2.5, 10.0])
def test_the_limit_falls_when_the_engine_slows_down(slow):
    engine, limit, rng = learn_limit()
    settled = limit.current
    engine.slowdown = slow
    lowest = min(limit.current for _ in drive(engine, limit, rng, 20))
    assert lowest <= settled / 2


def test_longer_requests_do_not_count_as_a_slower_target():
    clock = FakeClock()
    limit = AdaptiveLimit("d1", MAXIMUM, clock)
    for tokens in (8, 800, 8, 800, 8, 800):
        clock.now += tokens * 0.01
        limit.complete(
            Completion(
                "r",
                "drafts",
                Result.COMPLETED,
                output_tokens=tokens,
                duration=tokens * 0.01,
            ),
            limit.current,
        )
    assert limit.current > 1


def test_the_gap_between_tokens_stays_within_its_goal():
    # A step yields 16 tokens and takes 50 ms, plus 2 ms for each further sequence;
    # the goal is 60 ms per step.
    engine, limit, _ = learn_limit(knee=16, token_gap=0.060 / 16)
    assert 2 <= limit.current <= 7


@pytest.mark.parametrize("result", [Result.BROKEN, Result.REFUSED])
def test_a_failure_resets_the_limit_to_cold(result):
    engine, limit, _ = learn_limit()
    limit.complete(Completion("r", "drafts", result), limit.current)
    assert limit.current == 1


@pytest.mark.parametrize("epoch", ["1", "2"])
def test_a_returning_target_is_cold_until_a_report_shows_the_same_process(epoch):
    engine, limit, _ = learn_limit()
    limit.observe_epoch("1")
    settled = limit.current
    limit.suspend()
    assert limit.current == 1
    limit.observe_epoch(epoch)
    assert limit.current == (settled if epoch == "1" else 1)


def test_a_declared_warm_up_keeps_a_restarted_target_at_one():
    engine, limit, rng = learn_limit(warm_up=5.0)
    assert limit.current > 1
    limit.observe_epoch("1")
    limit.observe_epoch("2")
    # The runs in progress belonged to the old process, which has ended.
    engine.batch.clear()
    assert {limit.current for _ in drive(engine, limit, rng, 4.0)} == {1}
    assert max(limit.current for _ in drive(engine, limit, rng, 10.0)) > 1


def test_growth_that_the_load_does_not_use_is_withdrawn():
    clock = FakeClock()
    limit = AdaptiveLimit("d1", MAXIMUM, clock)
    run = Completion(
        "r", "drafts", Result.COMPLETED, output_tokens=100, duration=0.1, first_token=0
    )
    while limit.current < 10:
        clock.now += 0.2
        limit.complete(run, limit.current)
    for _ in range(40):
        clock.now += 0.2
        limit.complete(run, 2)
    # A concurrency of eight had been measured under load; from there the limit had
    # grown by a third.
    assert limit.current == 9


def test_a_refusing_target_does_not_attract_all_waiting_demands():
    clock = FakeClock()
    coordinator = make_coordinator(clock, declare(("d1", "d2")), limits="adaptive")
    coordinator.join("e1", Join("drafts"))
    coordinator.renew("e1", clock(), clock())
    for target in ("d1", "d2"):
        coordinator.observe(LoadReport(target, "1", 0, 0))
    refused = 0
    for _ in range(100):
        clock.now += 0.01
        coordinator.renew("e1", clock(), clock())
        request = demand(0, max_wait=3.0)
        coordinator.submit("e1", request)
        for addressed in coordinator.decide():
            message = addressed.message
            if isinstance(message, Grant) and message.target == "d1":
                refused += 1
                end = Completion(message.request_id, "drafts", Result.REFUSED)
                coordinator.finish("e1", end)
    # At 0, 0.2 and 0.6 s, and one more that was already in flight.
    assert 1 <= refused <= 4
