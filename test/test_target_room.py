"""Decisions on brittle targets, which end when they must refuse too often."""

import pytest

from almondglade.placement.brittle import REFUSAL_PAUSE_SECONDS, TargetRoom

from .placing import make_pools, record, ticket

SLOTS = 6


def make_room(refusal_limit=3.0):
    room = TargetRoom()
    room.record(refusal_limit, 0.0, 0.0)
    return room


def test_a_brittle_target_gets_its_slots_until_it_refuses():
    assert make_room().limit(SLOTS, 1.0, 10.0) == SLOTS


def test_after_a_refusal_a_brittle_target_gets_nothing_and_then_less():
    room = make_room()
    room.record_refusal(5, 1.0, 1.0)
    assert room.limit(SLOTS, 1.0, 1.1) == 0
    assert room.limit(SLOTS, 1.0, 1.0 + REFUSAL_PAUSE_SECONDS) == 4
    assert room.limit(SLOTS, 1.0, 10.0) == SLOTS


def test_refusals_of_requests_that_were_on_their_way_count_once():
    room = make_room()
    for at in (1.0, 1.05, 1.1):
        room.record_refusal(5, at, at)
    assert room.limit(SLOTS, 1.0, 1.5) == 4


def test_a_refusal_that_several_peers_report_counts_once():
    room = make_room()
    for heard_at in (1.0, 1.4, 2.0):
        room.record_refusal(5, 1.0, heard_at)
    assert room.limit(SLOTS, 1.0, 1.9) == 4


def test_one_request_at_a_time_is_still_sent_after_many_refusals():
    room = make_room()
    for step in range(20):
        room.record_refusal(1, 0.5 * step, 0.5 * step)
    assert room.limit(SLOTS, 1.0, 9.9) == 1


# Each side of a partition took all slots of a target for its own.
@pytest.mark.parametrize("sides", [(5, 4), (8, 1), (3, 3, 3)])
def test_the_sides_of_a_partition_share_the_room_of_a_brittle_target(sides):
    limits = [make_room().limit(SLOTS, side / sum(sides), 10.0) for side in sides]
    assert sum(limits) <= 1.25 * SLOTS + len(sides)


def test_a_target_that_is_no_longer_brittle_gets_its_slots():
    room = make_room()
    room.record_refusal(5, 1.0, 1.0)
    room.record(float("inf"), 1.05, 1.1)
    assert room.limit(SLOTS, 0.5, 1.1) == SLOTS


def test_a_coordinator_grants_no_more_than_the_room_of_a_brittle_target():
    pools = make_pools(record("t1"))
    state = pools.targets.state_by_target["t1"]
    state.room.record(3.0, 0.0, 0.0)
    state.room.record_refusal(3, 0.0, 0.0)
    for _ in range(12):
        pools.enqueue(ticket(), 0.0)
    assert pools.match(0.1) == []
    assert len(pools.match(0.5)) == 2
    assert pools.expected_wait("drafts", (0, 0), 0.5) < 10.0
