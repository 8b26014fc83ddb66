"""Decisions on targets that name request rates."""

import math

import pytest

from almondglade.dispatch.call import ResponseHead
from almondglade.placement.ratelimits import (
    EXPIRY_SECONDS,
    MIN_REQUESTS_PER_SECOND,
    NO_LIMIT,
    QUIET_SECONDS,
    NamedRate,
    share_of_rate,
)
from almondglade.platform.front import parse_target_response

from .limitedfleet import WINDOW_SECONDS, max_requests
from .placing import make_pools, record, ticket

TICK_SECONDS = 0.02
HOLD_SECONDS = 0.05
MAX_WAITING = 4


def name_rate(pools, rate, at=0.0):
    for state in pools.targets.state_by_target.values():
        state.named_rate.record(rate, at, at)


def grant_times(pools, seconds, arrival_seconds=0.01):
    """Return when requests are granted if one arrives again and again."""
    times = []
    for tick in range(round(seconds / TICK_SECONDS)):
        now = tick * TICK_SECONDS
        for _ in range(round(TICK_SECONDS / arrival_seconds)):
            if len(pools.waiting_here()) < MAX_WAITING:
                pools.enqueue(ticket(arrived_at=now), now)
        for granted, _ in pools.match(now):
            pools.release(granted, HOLD_SECONDS, now)
            times.append(now)
    return times


def most_in_window(times):
    return max(sum(t <= at < t + WINDOW_SECONDS for at in times) for t in times)


@pytest.mark.parametrize("rate", [0.4, 1.0, 2.6, 20.0])
def test_a_coordinator_grants_the_named_rate_and_no_more(rate):
    pools = make_pools(record("t1"))
    name_rate(pools, rate)
    times = grant_times(pools, 20.0)
    assert most_in_window(times) <= max_requests(rate)
    assert len(times) >= 0.8 * rate * 20.0


# Each side of a partition could grant the whole rate.
@pytest.mark.parametrize("sides", [(5, 4), (3, 3, 3), (8, 1), (1,) * 9])
@pytest.mark.parametrize("rate", [1.0, 10.0])
def test_the_sides_of_a_partition_together_grant_no_more_than_allowed(sides, rate):
    times = []
    for members in sides:
        pools = make_pools(record("t1"))
        share = members / sum(sides)
        pools.targets.reachable_share = lambda share=share: share
        name_rate(pools, rate)
        times += grant_times(pools, 20.0)
    assert most_in_window(times) <= max_requests(rate)


# While instances disagree, the first choice and one that stands in both grant.
@pytest.mark.parametrize("rate", [0.4, 1.0, 20.0])
def test_two_coordinators_at_once_grant_no_more_than_allowed(rate):
    times = []
    for instance in ("e1", "e2"):
        pools = make_pools(record("t1"), instance=instance, others=("e1", "e2"))
        for other in {"e1", "e2"} - {instance}:
            pools.coordinators.mark_unresponsive(other, 0.0)
            pools.coordinators.mark_unresponsive(other, 7.0)
        name_rate(pools, rate)
        times += grant_times(pools, 8.0)
    assert most_in_window(times) <= max_requests(rate)


def test_an_instance_that_is_not_the_coordinator_places_nothing_on_a_limited_target():
    pools = make_pools(record("t1"), instance="e1", others=("e2",))
    name_rate(pools, 5.0)
    entry = ticket()
    coordinator = "e2"
    pools.coordinators.choose = lambda *args: coordinator
    pools.enqueue(entry, 0.0)
    assert list(pools.match(3.0)) == []


def test_other_targets_get_what_a_limited_one_does_not_take():
    pools = make_pools(record("t1"), record("t2"))
    pools.targets.state_by_target["t1"].named_rate.record(1.0, 0.0, 0.0)
    times = grant_times(pools, 8.0, arrival_seconds=0.02)
    assert len(times) == 400
    assert not pools.waiting_here()


# The coordinator expected no wait for the first one, and each was refused late.
@pytest.mark.parametrize("waiting", range(6))
def test_the_coordinator_expects_the_wait_until_the_named_rates_allow_a_request(
    waiting,
):
    pools = make_pools(record("t1"), record("t2"))
    pools.targets.state_by_target["t1"].named_rate.record(2.0, 0.0, 0.0)
    pools.targets.state_by_target["t2"].named_rate.record(1.3, 0.0, 0.0)
    for _ in range(waiting):
        pools.enqueue(ticket(), 0.0)
    expected = pools.expected_wait("drafts", (0, 0), 0.1)
    pools.enqueue(ticket(arrived_at=0.1), 0.1)
    *_, granted_at = (
        now
        for now in (0.1 + 0.01 * step for step in range(300))
        for granted, _ in pools.match(now)
        if granted.arrived_at == 0.1
    )
    assert expected == pytest.approx(granted_at - 0.1, abs=0.011)


def test_no_wait_is_expected_while_the_named_rates_allow_a_request():
    pools = make_pools(record("t1"), record("t2"))
    name_rate(pools, 2.0)
    assert pools.expected_wait("drafts", (0, 0), 0.5) == 0.0


def test_an_instance_that_does_not_coordinate_waits_for_the_named_rates():
    pools = make_pools(record("t1"), record("t2"), others=("e2",))
    pools.coordinators.choose = lambda *args: "e2"
    name_rate(pools, 2.0)
    assert pools.expected_wait("drafts", (0, 0), 0.0) == 0.0
    for _ in range(4):
        pools.enqueue(ticket(), 0.0)
    assert pools.expected_wait("drafts", (0, 0), 0.1) == pytest.approx(1.0)


def test_other_targets_shorten_the_wait_for_a_named_rate():
    pools = make_pools(record("t1"), record("t2", slots=1))
    pools.targets.state_by_target["t1"].named_rate.record(0.5, 0.0, 0.0)
    running = ticket()
    pools.enqueue(running, 0.0)
    assert [granted for granted, _ in pools.match(0.0)] == [running]
    hold_seconds = pools.mean_hold_seconds("drafts")
    assert pools.expected_wait("drafts", (0, 0), 0.0) == pytest.approx(hold_seconds)


@pytest.mark.parametrize(
    ("responses", "rate"),
    [
        ([(2.0, 0.0, 0.1)], 2.0),
        ([(2.0, 0.0, 0.1), (NO_LIMIT, 0.2, 0.3)], NO_LIMIT),
        # Sent before the limit was named.
        ([(2.0, 0.0, 0.1), (NO_LIMIT, 0.05, 0.3)], 2.0),
        # Named before the request was sent that got a response without a limit.
        ([(NO_LIMIT, 0.2, 0.3), (2.0, 0.0, 0.1)], NO_LIMIT),
        ([(10.0, 0.0, 0.1), (1.0, 0.0, 0.2), (10.0, 0.0, 0.15)], 1.0),
    ],
)
def test_the_newest_statement_applies(responses, rate):
    named = NamedRate()
    for response in responses:
        named.record(*response)
    assert named.value == rate


@pytest.mark.parametrize(
    ("responses", "rate"),
    [
        # Responses: the limit, when sent, when received, and whether a failure.
        ([(2.0, 0.0, 0.1, True), (NO_LIMIT, 0.2, 0.3, False)], 2.0),
        ([(NO_LIMIT, 0.2, 0.3, False), (2.0, 0.0, 0.1, True)], 2.0),
        ([(2.0, 0.0, 0.1, True), (NO_LIMIT, 0.2, 0.3, True)], NO_LIMIT),
        ([(2.0, 0.0, 0.1, False), (NO_LIMIT, 0.2, 0.3, True)], 2.0),
        # It named its limit in successes too.
        (
            [
                (2.0, 0.0, 0.1, True),
                (2.0, 0.1, 0.2, False),
                (NO_LIMIT, 0.3, 0.4, False),
            ],
            NO_LIMIT,
        ),
    ],
)
def test_only_responses_of_a_kind_that_named_it_end_a_limit(responses, rate):
    named = NamedRate()
    for response in responses:
        named.record(*response)
    assert named.value == rate


# A target that fails no more cannot say that its limit has ended.
def test_a_rate_that_failures_no_longer_name_grows_and_ends():
    pools = make_pools(record("t1"))
    state = pools.targets.state_by_target["t1"]
    state.named_rate.record(0.4, 0.0, 0.0, is_failure=True)
    times = grant_times(pools, EXPIRY_SECONDS)
    assert sum(at < QUIET_SECONDS for at in times) <= max_requests(0.4)
    assert len(times) > 20
    assert not state.named_rate.expire(EXPIRY_SECONDS - 0.1)
    assert state.named_rate.expire(EXPIRY_SECONDS)
    assert not state.named_rate.is_limited


@pytest.mark.parametrize("rate", [0.0, 1e-9])
def test_a_target_that_names_almost_no_rate_is_still_asked(rate):
    pools = make_pools(record("t1"))
    name_rate(pools, rate)
    times = grant_times(pools, 20.0)
    assert most_in_window(times) <= max_requests(rate)
    assert len(times) >= 0.8 * MIN_REQUESTS_PER_SECOND * 20.0


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([], math.inf),
        (["2.6"], 2.6),
        ([" 3 "], 3.0),
        (["5", "2"], 2.0),
        (["5", "nan"], 5.0),
        *(([bad], None) for bad in ("", "-1", "nan", "inf", "1e999", "9" * 400)),
        (["pool 5"], None),
    ],
)
def test_only_usable_rates_are_taken_from_responses(values, rate):
    headers = tuple(("Server-Limit", value) for value in values)
    assert parse_target_response(ResponseHead(200, headers)).rate_limit == rate


@pytest.mark.parametrize(
    ("is_first_choice", "reachable_share", "share"),
    [(True, 1.0, 1.0), (True, 0.9, 1.0), (True, 0.4, 0.5), (False, 1.0, 0.25)],
)
def test_shares_of_a_rate(is_first_choice, reachable_share, share):
    assert share_of_rate(is_first_choice, reachable_share) == pytest.approx(share)
