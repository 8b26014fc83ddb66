"""Which requests get the slots of targets, under overload and through failures."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade.placement.coordination import (
    ANSWER_TIMEOUT_SECONDS,
    MIN_BACKOFF_SECONDS,
)
from almondglade.placement.fleetload import GRANT_EXPIRY_SECONDS, PEER_EXPIRY_SECONDS
from almondglade.placement.health import Health, TargetStats
from almondglade.placement.places import PeerLoad
from almondglade.placement.pool import FALLBACK_SECONDS, YIELD_SECONDS

from .placing import SERVICE, Workload, make_pools, record, replay, ticket

# Twice the capacity of five targets with six slots, most of it in long responses.
URGENT = Workload((1, 0), rate=20.0, hold_seconds=0.5, max_wait_seconds=0.42)
SECOND = Workload((1, 1), rate=22.0, hold_seconds=0.3, max_wait_seconds=0.84)
LONG = Workload((0, 2), rate=25.0, hold_seconds=2.2, max_wait_seconds=1.05)
ENGINES = [record(f"t{number}") for number in range(5)]


# In an overload a slot is free for a moment, again and again, while requests wait; an
# instance expected no wait then, and let its callers wait in vain.
def test_a_free_slot_belongs_to_those_that_wait():
    pools = make_pools(record("t1", slots=4), others=("e2",))
    pools.coordinators.choose = lambda *args: "e2"
    hold_seconds = pools.mean_hold_seconds("drafts")
    for number in range(6):
        pools.enqueue(ticket(arrived_at=0.01 * number), 0.1)
    pools.targets.state_by_target["t1"].running_here = 3
    assert pools.expected_wait("drafts", (0, 0), 0.1) == pytest.approx(
        6 * hold_seconds / 4
    )
    assert pools.expected_wait("drafts", (-1, -1), 0.1) == 0.0


def test_no_target_runs_more_requests_than_its_slots():
    pools = make_pools(*ENGINES)
    for number in range(100):
        pools.enqueue(ticket(arrived_at=number / 100), 1.0)
    pools.match(1.0)
    assert (
        sum(state.running_here for state in pools.targets.state_by_target.values())
        == 30
    )
    assert all(
        state.running_here == 6 for state in pools.targets.state_by_target.values()
    )


def test_long_responses_of_the_first_workspace_leave_slots_for_urgent_requests():
    outcomes = replay(make_pools(*ENGINES), (URGENT, SECOND, LONG), seconds=20)
    assert outcomes[URGENT].share >= 0.95
    assert outcomes[SECOND].share >= 0.9


def test_long_responses_are_not_starved_by_urgent_requests():
    urgent = replace(URGENT, rate=60.0)
    outcomes = replay(make_pools(*ENGINES), (urgent, SECOND, LONG), seconds=20)
    assert outcomes[LONG].served > 0
    share_of_slots = outcomes[LONG].served * LONG.hold_seconds / (20 * 30)
    assert share_of_slots >= 0.05


def test_the_first_workspace_goes_first_within_a_route_tier():
    first = replace(URGENT, tier=(0, 0), rate=60.0)
    second = replace(URGENT, tier=(1, 0), rate=60.0)
    outcomes = replay(make_pools(*ENGINES), (first, second), seconds=10)
    assert outcomes[first].share > 0.85
    assert outcomes[second].share < 0.25


def test_no_slot_stays_free_while_requests_wait():
    pools = make_pools(*ENGINES)
    outcomes = replay(pools, (URGENT, SECOND, LONG), seconds=20)
    work = sum(
        outcome.served * workload.hold_seconds for workload, outcome in outcomes.items()
    )
    assert work >= 0.97 * 30 * 20


def report_load(
    pools, name, at, tickets=(), running=None, confirmed_grant=0, paused=()
):
    load = PeerLoad(
        at, running or {}, tuple(tickets), confirmed_grant, frozenset(paused)
    )
    pools.fleet.update(name, load)


def peer_ticket(owner, number, coordinator="e1", **changes):
    return ticket(owner=owner, number=number, coordinator=coordinator, **changes)


def test_a_coordinator_grants_slots_to_peers_and_counts_unconfirmed_grants():
    pools = make_pools(record("t1", slots=1))
    report_load(pools, "e2", 0.0, [peer_ticket("e2", 7), peer_ticket("e2", 8)])
    ((granted, number),) = pools.match(0.0)
    assert (granted.number, granted.target) == (7, "t1")
    assert pools.fleet.unconfirmed_grants("e2") == [(number, 7, "t1")]
    assert pools.match(0.01) == []
    report_load(pools, "e2", 0.02, [peer_ticket("e2", 8)], {"t1": {0: 1}}, number)
    assert pools.match(0.02) == []
    report_load(pools, "e2", 0.03, [peer_ticket("e2", 8)], {}, number)
    assert [entry.number for entry, _ in pools.match(0.03)] == [8]


def test_an_unconfirmed_grant_expires():
    pools = make_pools(record("t1", slots=1))
    report_load(pools, "e2", 0.0, [peer_ticket("e2", 7)])
    pools.match(0.0)
    later = 1.1 * GRANT_EXPIRY_SECONDS
    report_load(pools, "e2", later, [peer_ticket("e2", 9)])
    assert [entry.number for entry, _ in pools.match(later)] == [9]


def test_an_unresponsive_coordinator_is_replaced_and_chosen_again_after_a_backoff():
    pools = make_pools(record("t1"), others=("e2", "e3", "e4"))
    chosen = pools.coordinators.choose(SERVICE, 0.0)
    if chosen == "e1":
        pools.coordinators.mark_unresponsive(chosen, 0.0)
        pools.coordinators.instances = ["e1", "e2"]
    entry = ticket()
    entry_coordinator = "e2"
    pools.enqueue(entry, 0.0)
    entry.coordinator = entry_coordinator
    unresponsive = pools.reassign_waiting(1.1 * ANSWER_TIMEOUT_SECONDS)
    assert unresponsive == ["e2"]
    assert entry.coordinator != "e2"
    later = 1.2 * ANSWER_TIMEOUT_SECONDS + MIN_BACKOFF_SECONDS
    pools.coordinators.instances = ["e2"]
    assert pools.coordinators.choose(SERVICE, later) == "e2"


def test_without_an_answer_from_the_coordinator_an_instance_places_requests_itself():
    pools = make_pools(record("t1"), others=("e2",))
    entry = ticket()
    pools.enqueue(entry, 0.0)
    entry.coordinator = "e2"
    assert pools.match(0.5 * FALLBACK_SECONDS) == []
    assert [granted for granted, _ in pools.match(1.1 * FALLBACK_SECONDS)] == [entry]


def test_without_a_coordinator_a_slot_is_first_left_to_a_better_request_on_a_peer():
    pools = make_pools(record("t1", slots=1), others=("e2",))
    entry = ticket(tier=(0, 1))
    pools.enqueue(entry, 0.0)
    entry.coordinator = "e2"
    now = 1.1 * FALLBACK_SECONDS
    report_load(pools, "e3", now, [peer_ticket("e3", 1, "e2", tier=(0, 0))])
    assert pools.match(now) == []
    assert len(pools.match(now + 1.1 * YIELD_SECONDS)) == 1


def test_a_grant_for_a_leaving_target_is_not_used():
    # A coordinator without access to the store grants slots on targets that all
    # other instances know to be leaving.
    pools = make_pools(record("t1", leaving=True), record("t2"), others=("e2",))
    entry = ticket()
    pools.enqueue(entry, 0.0)
    assert pools.apply_grant("e2", 5, entry.number, "t1") is None
    assert pools.latest_grant_by_coordinator == {"e2": 5}
    assert entry in pools.waiting_here()
    assert "t1" in pools.targets.paused_here(0.0)
    assert pools.apply_grant("e2", 6, entry.number, "t2") is entry


# Bookings ran at the targets of another service, in the slots that a coordinator had
# granted to requests which waited here before this instance was killed.
def test_a_grant_to_a_former_start_is_not_used_by_a_request_of_this_one():
    former, present = (make_pools(record("t1"), others=("e2",)) for _ in range(2))
    entries = [ticket() for _ in range(5)]
    for pools, entry in zip([former, *[present] * 4], entries, strict=True):
        pools.enqueue(entry, 0.0)
    lost, *waiting = entries
    assert present.apply_grant("e2", 5, lost.number, "t1") is None
    assert present.waiting_here() == waiting


def test_a_grant_of_a_target_of_another_service_is_not_used():
    pools = make_pools(record("t1"), replace(record("t2"), service="other"))
    entry = ticket()
    pools.enqueue(entry, 0.0)
    assert pools.apply_grant("e2", 5, entry.number, "t2") is None
    assert pools.apply_grant("e2", 6, entry.number, "t1") is entry


def test_a_coordinator_grants_no_slots_on_targets_that_the_peer_pauses():
    pools = make_pools(record("t1"), record("t2"))
    report_load(pools, "e2", 0.0, [peer_ticket("e2", 1)], paused=["t1"])
    assert [entry.target for entry, _ in pools.match(0.0)] == ["t2"]


def granted_targets(pools, count, now):
    """Return how many of some new requests each target gets."""
    for _ in range(count):
        pools.enqueue(ticket(arrived_at=now), now)
    return Counter(entry.target for entry, _ in pools.match(now))


def report_answers(pools, name, at, finished):
    stats = {target: TargetStats(finished=count) for target, count in finished.items()}
    pools.fleet.update(name, PeerLoad(at, {}, stats_by_target=stats))


def test_a_target_paused_by_two_peers_gets_single_requests_from_all():
    pools = make_pools(record("t1"), record("t2"))
    report_load(pools, "e2", 0.0, paused=["t1"])
    assert granted_targets(pools, 12, 0.0) == {"t1": 6, "t2": 6}
    pools = make_pools(record("t1"), record("t2"))
    report_load(pools, "e2", 0.0, paused=["t1"])
    report_load(pools, "e3", 0.0, paused=["t1"])
    assert granted_targets(pools, 12, 0.0) == {"t1": 1, "t2": 6}


def test_a_target_that_answers_a_peer_is_not_limited_by_the_pauses_of_others():
    pools = make_pools(record("t1"), record("t2"))
    for at, finished in ((0.0, 3), (0.5, 4)):
        report_answers(pools, "e4", at, {"t1": finished})
    for name in ("e2", "e3"):
        report_load(pools, name, 0.5, paused=["t1"])
    assert granted_targets(pools, 12, 0.6) == {"t1": 6, "t2": 6}


# Instances that had lost their links to all targets took these from the others.
def test_pauses_of_instances_that_reach_no_target_do_not_count():
    pools = make_pools(record("t1"), record("t2"))
    for name in ("e2", "e3", "e4"):
        report_load(pools, name, 0.0, paused=["t1", "t2"])
    assert granted_targets(pools, 12, 0.0) == {"t1": 6, "t2": 6}


# A coordinator without links granted its peers nothing.
def test_a_coordinator_grants_peers_the_targets_that_it_pauses_itself():
    pools = make_pools(record("t1"))
    pools.targets.state_by_target["t1"].health.record_unreachable(0.0)
    pools.enqueue(ticket(), 0.0)
    report_load(pools, "e2", 0.0, [peer_ticket("e2", 1)])
    assert [entry.owner for entry, _ in pools.match(0.1)] == ["e2"]
    assert pools.expected_wait(SERVICE, (0, 0), 0.1) == float("inf")


def test_failures_without_a_response_count_for_others_after_a_later_response():
    health = Health()
    for at in (0.0, 0.1, 0.2):
        health.record_unreachable(at)
    assert health.stats(0.3).failures == 0
    health.record_success(0.4)
    assert (health.stats(0.4).finished, health.stats(0.4).failures) == (4, 3)
    assert health.stats(3.05).failures == 2


@pytest.mark.parametrize("evacuated", [frozenset(), frozenset({"north"})])
def test_no_request_goes_to_an_evacuated_data_centre(evacuated):
    pools = make_pools(record("t1"), record("t2", data_centre="south"))
    pools.targets.evacuated_data_centres = evacuated
    for _ in range(12):
        pools.enqueue(ticket(), 0.0)
    targets = {entry.target for entry, _ in pools.match(0.0)}
    assert targets == ({"t2"} if evacuated else {"t1", "t2"})


def test_targets_in_the_data_centre_of_the_request_are_preferred():
    pools = make_pools(record("t1", "south"), record("t2", "north"))
    report_load(pools, "e2", 0.0, [peer_ticket("e2", 1, data_centre="south")])
    assert [entry.target for entry, _ in pools.match(0.0)] == ["t1"]


def test_a_long_stream_avoids_targets_too_slow_for_its_deadline():
    pools = make_pools(record("slow"), record("fast", data_centre="south"))
    pools.targets.state_by_target["slow"].health.record_stream(0.03)
    pools.targets.state_by_target["fast"].health.record_stream(0.01)
    pools.enqueue(ticket(expected_events=700, deadline=15.0), 0.0)
    assert [entry.target for entry, _ in pools.match(0.0)] == ["fast"]
    pools.enqueue(ticket(expected_events=7000, deadline=15.0), 0.0)
    assert len(pools.match(0.0)) == 1


def test_a_paused_target_gets_no_requests_until_its_pause_ends():
    pools = make_pools(record("t1"))
    pools.targets.state_by_target["t1"].health.record_unreachable(0.0)
    pools.enqueue(ticket(), 0.0)
    assert pools.match(0.1) == []
    assert len(pools.match(0.3)) == 1


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=60))
def test_a_wait_is_expected_only_without_free_slots(tiers):
    pools = make_pools(record("t1", slots=2))
    for tier in tiers:
        pools.enqueue(ticket(tier), 0.0)
    pools.match(0.0)
    expected = pools.expected_wait(SERVICE, (1, 1), 0.0)
    assert (expected > 0.0) == (len(tiers) >= 2)


def test_without_a_usable_target_the_expected_wait_is_infinite():
    pools = make_pools(record("t1", leaving=True))
    assert pools.expected_wait(SERVICE, (0, 0), 0.0) == float("inf")


def test_only_a_coordinator_sends_requests_to_a_cold_target():
    # After a cold start of targets, requests timed out although slots were free: the
    # coordinator was not one of the instances that could use these slots.
    pools = make_pools(record("t1", cold_until=10.0), others=("e2",))
    pools.selector.cold_rate_by_service = {SERVICE: 12.0}
    uncoordinated = ticket()
    pools.enqueue(uncoordinated, 0.0)
    uncoordinated.coordinator = "e2"
    assert pools.match(1.1 * FALLBACK_SECONDS) == []
    report_load(pools, "e2", 0.2, [peer_ticket("e2", number) for number in range(9)])
    assert len(pools.match(0.2)) == 2
    assert len(pools.match(1.2)) >= 2


REPORTS = st.lists(
    st.tuples(
        st.sampled_from(["e2", "e3"]),
        st.dictionaries(
            st.sampled_from(["t1", "t2"]),
            st.dictionaries(st.integers(0, 2), st.integers(1, 3), max_size=2),
        ),
    ),
    max_size=20,
)


@given(REPORTS)
def test_load_sums_count_only_the_newest_report_of_each_peer(reports):
    pools = make_pools(record("t1", slots=99), record("t2", slots=99))
    newest = {}
    for name, running in reports:
        report_load(pools, name, 0.0, running=running)
        newest[name] = running
    count = sum(
        sum(counts.values())
        for running in newest.values()
        for counts in running.values()
    )
    assert pools.free_slots(SERVICE, 0.0) == 2 * 99 - count
    pools.reassign_waiting(1.1 * PEER_EXPIRY_SECONDS)
    assert pools.free_slots(SERVICE, 1.1 * PEER_EXPIRY_SECONDS) == 2 * 99


# Each arrival ordered all waiting requests, which took a busy instance's processor.
def test_arrivals_within_a_moment_order_the_waiting_requests_once():
    pools = make_pools(record("t1", slots=1), others=("e2",))
    pools.coordinators.choose = lambda *args: "e2"
    for number in range(50):
        pools.enqueue(ticket(arrived_at=0.001 * number), 0.1)
    orders = []
    order = pools._order
    pools._order = lambda *args: orders.append(args) or order(*args)
    waits = {pools.expected_wait("drafts", (0, 0), 0.1 + 0.001 * n) for n in range(20)}
    assert len(orders) == len(waits) == 1
    assert pools.expected_wait("drafts", (0, 0), 0.2) > 0.0
    assert len(orders) == 2
