"""Replays of overloads in which all requests wait for about as long as they may."""

import pytest

from almondglade.placement.timeliness import ResponseTimes

from .placing import SERVICE, Workload, make_pools, record, replay, ticket

HOLD_SECONDS = 0.4
RESPONSE_SECONDS = 0.2
OBJECTIVE_SECONDS = 0.5
MAX_WAIT_SECONDS = 0.7 * OBJECTIVE_SECONDS
SLOTS = 6


def replay_overload(load, is_active):
    """Replay a load for 20 s; return the outcome of its requests."""
    pools = make_pools(*(record(f"t{number}", slots=SLOTS) for number in range(4)))
    pools.response_times.is_active = is_active
    pools.response_times.record(SERVICE, 1.0)
    capacity = 4 * SLOTS / HOLD_SECONDS
    workload = Workload((0, 0), load * capacity, HOLD_SECONDS, MAX_WAIT_SECONDS)

    def start_by(now):
        return pools.response_times.latest_start(
            SERVICE, now + OBJECTIVE_SECONDS, RESPONSE_SECONDS
        )

    return replay(pools, [workload], 20.0, start_by)[workload]


def count_in_time(outcome):
    return sum(wait + RESPONSE_SECONDS <= OBJECTIVE_SECONDS for wait in outcome.waits)


@pytest.mark.parametrize("load", [1.2, 1.5, 2.0])
def test_in_an_overload_slots_go_to_requests_that_can_be_in_time(load):
    former = replay_overload(load, is_active=False)
    outcome = replay_overload(load, is_active=True)
    # All the slots are used in both.
    assert outcome.served >= 0.99 * former.served
    assert count_in_time(outcome) >= 0.9 * outcome.served
    assert count_in_time(outcome) > count_in_time(former)


def test_below_its_capacity_a_service_serves_as_before():
    former = replay_overload(0.9, is_active=False)
    outcome = replay_overload(0.9, is_active=True)
    assert outcome.waits == former.waits
    assert outcome.refused == former.refused == 0


def test_those_that_are_late_get_the_slots_that_are_left():
    pools = make_pools(record("t1", slots=2))
    pools.response_times.is_active = True
    late = ticket(arrived_at=0.0, start_by=0.1)
    timely, later = (ticket(arrived_at=at, start_by=0.6) for at in (0.2, 0.3))
    for entry in (late, timely, later):
        pools.enqueue(entry, 0.3)
    assert [entry for entry, _ in pools.match(0.3)] == [timely, later]
    pools.release(timely, 0.1, 0.4)
    assert [entry for entry, _ in pools.match(0.4)] == [late]


def test_a_more_urgent_tier_goes_first_also_when_it_is_late():
    pools = make_pools(record("t1", slots=1))
    pools.response_times.is_active = True
    urgent = ticket((0, 0), arrived_at=0.0, start_by=0.1)
    timely = ticket((1, 0), arrived_at=0.2, start_by=0.6)
    pools.enqueue(timely, 0.3)
    pools.enqueue(urgent, 0.3)
    assert [entry for entry, _ in pools.match(0.3)] == [urgent]


def test_the_latest_start_follows_the_responses_of_the_service():
    times = ResponseTimes()
    assert times.latest_start("s", 1.0, 0.1) == float("inf")
    times.record("s", 2.0)
    assert times.latest_start("s", 1.0, 0.1) == pytest.approx(0.8)
    for _ in range(60):
        times.record("s", 4.0)
    assert times.latest_start("s", 1.0, 0.1) == pytest.approx(0.6, abs=0.01)
    assert times.latest_start("other", 1.0, 0.1) == float("inf")
