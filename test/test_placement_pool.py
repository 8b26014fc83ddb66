"""Places of targets: who gets them, at the worst load and through failures."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade.placement.coordination import (
    ANSWER_TIMEOUT_SECONDS,
    MIN_BACKOFF_SECONDS,
)
from almondglade.placement.fleetload import GRANT_EXPIRY_SECONDS, PEER_EXPIRY_SECONDS
from almondglade.placement.places import PeerLoad
from almondglade.placement.pool import FALLBACK_SECONDS, YIELD_SECONDS

from .placing import SERVICE, Kind, make_pools, record, replay, ticket

# Twice what five engines of six places bear, most of it long answers.
URGENT = Kind((1, 0), rate=20.0, hold=0.5, patience=0.42)
SECOND = Kind((1, 1), rate=22.0, hold=0.3, patience=0.84)
LONG = Kind((0, 2), rate=25.0, hold=2.2, patience=1.05)
ENGINES = [record(f"t{number}") for number in range(5)]


def test_no_engine_runs_more_than_its_slots():
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


def test_long_answers_of_the_first_workspace_leave_room_for_urgent_ones():
    outcomes = replay(make_pools(*ENGINES), (URGENT, SECOND, LONG), seconds=20)
    assert outcomes[URGENT].share >= 0.95
    assert outcomes[SECOND].share >= 0.9


def test_long_answers_are_not_starved_by_urgent_ones():
    urgent = replace(URGENT, rate=60.0)
    outcomes = replay(make_pools(*ENGINES), (urgent, SECOND, LONG), seconds=20)
    assert outcomes[LONG].served > 0
    share_of_places = outcomes[LONG].served * LONG.hold / (20 * 30)
    assert share_of_places >= 0.05


def test_the_first_workspace_goes_first_within_a_kind():
    first = replace(URGENT, tier=(0, 0), rate=60.0)
    second = replace(URGENT, tier=(1, 0), rate=60.0)
    outcomes = replay(make_pools(*ENGINES), (first, second), seconds=10)
    assert outcomes[first].share > 0.85
    assert outcomes[second].share < 0.25


def test_free_places_are_never_left_while_work_waits():
    pools = make_pools(*ENGINES)
    outcomes = replay(pools, (URGENT, SECOND, LONG), seconds=20)
    work = sum(outcome.served * kind.hold for kind, outcome in outcomes.items())
    assert work >= 0.97 * 30 * 20


def told(pools, name, at, tickets=(), running=None, confirmed=0, paused=()):
    load = PeerLoad(at, running or {}, tuple(tickets), confirmed, frozenset(paused))
    pools.fleet.update(name, load)


def peer_ticket(owner, number, coordinator="e1", **changes):
    return ticket(owner=owner, number=number, coordinator=coordinator, **changes)


def test_a_coordinator_grants_peers_and_counts_what_they_have_not_confirmed():
    pools = make_pools(record("t1", slots=1))
    told(pools, "e2", 0.0, [peer_ticket("e2", 7), peer_ticket("e2", 8)])
    ((granted, number),) = pools.match(0.0)
    assert (granted.number, granted.target) == (7, "t1")
    assert pools.fleet.unconfirmed_grants("e2") == [(number, 7, "t1")]
    assert pools.match(0.01) == []
    told(pools, "e2", 0.02, [peer_ticket("e2", 8)], {"t1": {0: 1}}, number)
    assert pools.match(0.02) == []
    told(pools, "e2", 0.03, [peer_ticket("e2", 8)], {}, number)
    assert [entry.number for entry, _ in pools.match(0.03)] == [8]


def test_a_lost_grant_is_given_up_in_time():
    pools = make_pools(record("t1", slots=1))
    told(pools, "e2", 0.0, [peer_ticket("e2", 7)])
    pools.match(0.0)
    later = 1.1 * GRANT_EXPIRY_SECONDS
    told(pools, "e2", later, [peer_ticket("e2", 9)])
    assert [entry.number for entry, _ in pools.match(later)] == [9]


def test_a_silent_coordinator_is_passed_over_and_asked_again_later():
    pools = make_pools(record("t1"), others=("e2", "e3", "e4"))
    chosen = pools.coordinators.choose(SERVICE, 0.0)
    if chosen == "e1":
        pools.coordinators.mark_unresponsive(chosen, 0.0)
        pools.coordinators.instances = ["e1", "e2"]
    entry = ticket()
    entry_coordinator = "e2"
    pools.enqueue(entry, 0.0)
    entry.coordinator = entry_coordinator
    silent = pools.reassign_waiting(1.1 * ANSWER_TIMEOUT_SECONDS)
    assert silent == ["e2"]
    assert entry.coordinator != "e2"
    later = 1.2 * ANSWER_TIMEOUT_SECONDS + MIN_BACKOFF_SECONDS
    pools.coordinators.instances = ["e2"]
    assert pools.coordinators.choose(SERVICE, later) == "e2"


def test_without_any_coordinator_an_instance_goes_on_alone():
    pools = make_pools(record("t1"), others=("e2",))
    entry = ticket()
    pools.enqueue(entry, 0.0)
    entry.coordinator = "e2"
    assert pools.match(0.5 * FALLBACK_SECONDS) == []
    assert [granted for granted, _ in pools.match(1.1 * FALLBACK_SECONDS)] == [entry]


def test_alone_it_leaves_a_place_to_a_better_request_elsewhere_for_a_moment():
    pools = make_pools(record("t1", slots=1), others=("e2",))
    entry = ticket(tier=(0, 1))
    pools.enqueue(entry, 0.0)
    entry.coordinator = "e2"
    now = 1.1 * FALLBACK_SECONDS
    told(pools, "e3", now, [peer_ticket("e3", 1, "e2", tier=(0, 0))])
    assert pools.match(now) == []
    assert len(pools.match(now + 1.1 * YIELD_SECONDS)) == 1


def test_a_grant_for_a_leaving_target_is_not_taken():
    # Seen on a day when the coordinator was turned away by the store: it granted
    # a target that all others knew to be leaving.
    pools = make_pools(record("t1", leaving=True), record("t2"), others=("e2",))
    entry = ticket()
    pools.enqueue(entry, 0.0)
    assert pools.apply_grant("e2", 5, entry.number, "t1") is None
    assert pools.latest_grant_by_coordinator == {"e2": 5}
    assert entry in pools.waiting_here()
    assert "t1" in pools.targets.paused_here(0.0)
    assert pools.apply_grant("e2", 6, entry.number, "t2") is entry


def test_a_coordinator_heeds_what_a_peer_does_not_use():
    pools = make_pools(record("t1"), record("t2"))
    told(pools, "e2", 0.0, [peer_ticket("e2", 1)], paused=["t1"])
    assert [entry.target for entry, _ in pools.match(0.0)] == ["t2"]


def test_what_two_peers_do_not_use_is_left_by_all():
    pools = make_pools(record("t1"))
    told(pools, "e2", 0.0, paused=["t1"])
    told(pools, "e3", 0.0, paused=["t1"])
    pools.enqueue(ticket(), 0.0)
    assert pools.match(0.0) == []


@pytest.mark.parametrize("out", [frozenset(), frozenset({"north"})])
def test_nothing_goes_to_a_data_centre_out_of_service(out):
    pools = make_pools(record("t1"), record("t2", data_centre="south"))
    pools.targets.evacuated_data_centres = out
    for _ in range(12):
        pools.enqueue(ticket(), 0.0)
    targets = {entry.target for entry, _ in pools.match(0.0)}
    assert targets == ({"t2"} if out else {"t1", "t2"})


def test_the_callers_own_data_centre_is_preferred():
    pools = make_pools(record("t1", "south"), record("t2", "north"))
    told(pools, "e2", 0.0, [peer_ticket("e2", 1, data_centre="south")])
    assert [entry.target for entry, _ in pools.match(0.0)] == ["t1"]


def test_a_long_stream_avoids_targets_that_cannot_end_it():
    pools = make_pools(record("slow"), record("fast", data_centre="south"))
    pools.targets.state_by_target["slow"].health.record_stream(0.03)
    pools.targets.state_by_target["fast"].health.record_stream(0.01)
    pools.enqueue(ticket(expected_events=700, deadline=15.0), 0.0)
    assert [entry.target for entry, _ in pools.match(0.0)] == ["fast"]
    pools.enqueue(ticket(expected_events=7000, deadline=15.0), 0.0)
    assert len(pools.match(0.0)) == 1


def test_a_paused_target_gets_nothing_until_its_pause_ends():
    pools = make_pools(record("t1"))
    pools.targets.state_by_target["t1"].health.record_unreachable(0.0)
    pools.enqueue(ticket(), 0.0)
    assert pools.match(0.1) == []
    assert len(pools.match(0.3)) == 1


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=60))
def test_waiting_is_expected_where_no_place_is_free(tiers):
    pools = make_pools(record("t1", slots=2))
    for tier in tiers:
        pools.enqueue(ticket(tier), 0.0)
    pools.match(0.0)
    expected = pools.expected_wait(SERVICE, (1, 1), 0.0)
    assert (expected > 0.0) == (len(tiers) >= 2)


def test_without_a_usable_target_the_wait_has_no_end():
    pools = make_pools(record("t1", leaving=True))
    assert pools.expected_wait(SERVICE, (0, 0), 0.0) == float("inf")


def test_a_coordinator_sends_to_a_cold_target_and_an_instance_alone_does_not():
    # Seen after a cold return: requests waited out their patience before free
    # places, since the coordinator was none of the instances that could use them.
    pools = make_pools(record("t1", cold_until=10.0), others=("e2",))
    pools.selector.cold_rate_by_service = {SERVICE: 12.0}
    alone = ticket()
    pools.enqueue(alone, 0.0)
    alone.coordinator = "e2"
    assert pools.match(1.1 * FALLBACK_SECONDS) == []
    told(pools, "e2", 0.2, [peer_ticket("e2", number) for number in range(9)])
    assert len(pools.match(0.2)) == 2
    assert len(pools.match(1.2)) >= 2


REPORTED = st.lists(
    st.tuples(
        st.sampled_from(["e2", "e3"]),
        st.dictionaries(
            st.sampled_from(["t1", "t2"]),
            st.dictionaries(st.integers(0, 2), st.integers(1, 3), max_size=2),
        ),
    ),
    max_size=20,
)


@given(REPORTED)
def test_the_sums_of_all_reports_are_those_of_the_newest(reports):
    pools = make_pools(record("t1", slots=99), record("t2", slots=99))
    newest = {}
    for name, running in reports:
        told(pools, name, 0.0, running=running)
        newest[name] = running
    count = sum(
        sum(kinds.values()) for running in newest.values() for kinds in running.values()
    )
    assert pools.free_slots(SERVICE, 0.0) == 2 * 99 - count
    pools.reassign_waiting(1.1 * PEER_EXPIRY_SECONDS)
    assert pools.free_slots(SERVICE, 1.1 * PEER_EXPIRY_SECONDS) == 2 * 99
