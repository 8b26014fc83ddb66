"""Large services split among coordinators, and counters forwarded by relays."""

import random
import time
from threading import Lock
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade.catalogue import WorkspaceTerms
from almondglade.gateway.exchange import Exchange
from almondglade.gateway.registry import Registry
from almondglade.gossip.messages import Report, SharedState, WaitingRequest
from almondglade.placement.allowance import Scope, SharedAllowances
from almondglade.placement.cells import Cell, Cells
from almondglade.placement.coordination import (
    ANSWER_TIMEOUT_SECONDS,
    MAX_BACKOFF_SECONDS,
    MIN_BACKOFF_SECONDS,
    SETTLE_SECONDS,
    Coordinators,
    InstanceInfo,
)
from almondglade.placement.freshness import Freshness
from almondglade.placement.health import TargetStats
from almondglade.placement.outlook import (
    LOAD_VALIDITY_SECONDS,
    OVERFLOW_WAIT_SECONDS,
    WAIT_VALIDITY_SECONDS,
    CellLoad,
)
from almondglade.placement.places import PeerLoad
from almondglade.placement.pool import (
    CHECK_SECONDS,
    LARGE_FLEET_FALLBACK_SECONDS,
    PLACING_CHECK_SECONDS,
)
from almondglade.placement.slotrequests import CELL_MOVE_SECONDS

from .placing import SERVICE, make_pools, record, ticket

NORTH, SOUTH = Cell(SERVICE, "north"), Cell(SERVICE, "south")


def engines(north, south, **changes):
    """Return the records of engines in two data centres."""
    return [
        *(record(f"n{number}", "north", **changes) for number in range(north)),
        *(record(f"s{number}", "south", **changes) for number in range(south)),
    ]


def large_pools(instance="e1", north=8, south=8, info_by_instance=None, **changes):
    """Return the pools of an instance in the north of a large fleet."""
    pools = make_pools(*engines(north, south, **changes), instance=instance)
    info_by_instance = info_by_instance or {
        "e1": InstanceInfo("north"),
        "e9": InstanceInfo("south"),
    }
    pools.coordinators.set_instances(sorted(info_by_instance), info_by_instance)
    pools.is_full_mesh = False
    return pools


def settle(pools, cell=NORTH):
    """Start the term of a cell's coordinator; return a time at which it has settled."""
    pools.record_slot_request(cell, 0.0)
    return 1.1 * SETTLE_SECONDS


def test_only_a_large_service_is_split():
    cells = Cells()
    cells.set_targets(engines(2, 3))
    assert cells.for_service(SERVICE) == [Cell(SERVICE)]
    cells.set_targets(engines(8, 8))
    assert cells.for_service(SERVICE) == [NORTH, SOUTH]


def test_cells_are_not_merged_when_single_targets_leave():
    cells = Cells()
    cells.set_targets(engines(4, 4))
    cells.set_targets(engines(3, 3))
    assert cells.for_service(SERVICE) == [NORTH, SOUTH]
    cells.set_targets(engines(1, 1))
    assert cells.for_service(SERVICE) == [Cell(SERVICE)]


def test_a_request_waits_in_the_cell_of_its_own_data_centre():
    pools = large_pools()
    entry = ticket()
    pools.enqueue(entry, 0.0)
    assert (entry.cell_data_centre, entry.coordinator) == ("north", "e1")


def test_requests_overflow_only_to_a_data_centre_with_free_slots():
    pools = large_pools()
    now = settle(pools)
    for _ in range(60):
        pools.enqueue(ticket(arrived_at=0.0), now)
    pools.match(now)
    full = ticket(arrived_at=now)
    pools.enqueue(full, now)
    assert full.cell_data_centre == "north"
    pools.cell_reports.record_load(CellLoad(SOUTH, free=30, slots=48), now)
    leaves = ticket(arrived_at=now)
    pools.enqueue(leaves, now)
    assert (leaves.cell_data_centre, leaves.coordinator) == ("south", "e9")
    pools.cell_reports.record_load(CellLoad(SOUTH, free=2, slots=48), now + 0.1)
    stays = ticket(arrived_at=now)
    pools.enqueue(stays, now + 0.1)
    assert stays.cell_data_centre == "north"


def test_a_reported_load_expires():
    pools = large_pools()
    pools.cell_reports.record_load(CellLoad(SOUTH, 30, 48), 0.0)
    assert (
        pools.cell_reports.choose_overflow([SOUTH], 0.5 * LOAD_VALIDITY_SECONDS)
        == SOUTH
    )
    assert (
        pools.cell_reports.choose_overflow([SOUTH], 1.1 * LOAD_VALIDITY_SECONDS) is None
    )


def test_a_waiting_request_moves_to_a_data_centre_with_free_slots():
    pools = large_pools()
    now = settle(pools)
    for _ in range(60):
        pools.enqueue(ticket(arrived_at=0.0), now)
    pools.match(now)
    later = now + 1.1 * CELL_MOVE_SECONDS
    pools.reassign_waiting(later)
    assert {entry.cell_data_centre for entry in pools.waiting_here()} == {"north"}
    pools.cell_reports.record_load(CellLoad(SOUTH, 30, 48), later)
    pools.reassign_waiting(later)
    assert "south" in {entry.cell_data_centre for entry in pools.waiting_here()}
    assert pools.cell_wait(NORTH, (0, 0), later) <= OVERFLOW_WAIT_SECONDS


def test_without_targets_in_their_own_data_centre_requests_go_to_another():
    pools = large_pools()
    pools.targets.evacuated_data_centres = frozenset({"north"})
    entry = ticket()
    pools.enqueue(entry, 0.0)
    assert entry.cell_data_centre == "south"


def test_a_new_coordinator_waits_for_reports_before_it_grants_slots():
    # Granting at once after a takeover put up to twice its slots on a target.
    new_terms = []
    pools = large_pools()
    pools.on_new_term = lambda: new_terms.append(1)
    pools.enqueue(ticket(), 0.0)
    assert new_terms == [1]
    assert pools.match(0.5 * SETTLE_SECONDS) == []
    running = {f"n{number}": {0: 6} for number in range(8)}
    pools.fleet.update("e2", PeerLoad(0.03, running))
    assert pools.match(1.1 * SETTLE_SECONDS) == []
    pools.fleet.update("e2", PeerLoad(0.1, {}))
    assert len(pools.match(0.1)) == 1
    pools.enqueue(ticket(), 0.2)
    assert new_terms == [1]


def test_without_a_coordinator_in_a_large_fleet_one_slot_of_each_target_is_used():
    info_by_instance = {"e1": InstanceInfo("north"), "e2": InstanceInfo("north", 1.0)}
    pools = large_pools(info_by_instance=info_by_instance)
    for _ in range(40):
        pools.enqueue(ticket(), 0.0)
    granted = pools.match(1.1 * LARGE_FLEET_FALLBACK_SECONDS)
    assert len(granted) == 8
    assert len({entry.target for entry, _ in granted}) == 8


def test_short_waits_together_detect_an_unresponsive_coordinator():
    # Requests of a plain service wait for less time than the answer timeout of a
    # coordinator in a large fleet, so that none of them alone could exceed it.
    info_by_instance = {
        "e1": InstanceInfo("north"),
        "e2": InstanceInfo("north", 2.0),
        "e3": InstanceInfo("north", 1.0),
    }
    pools = large_pools(info_by_instance=info_by_instance)
    now, unresponsive = 0.0, []
    while not unresponsive:
        entry = ticket(arrived_at=now)
        pools.enqueue(entry, now)
        now += 0.08
        unresponsive = pools.reassign_waiting(now)
        pools.withdraw(entry)
        assert now < 0.5
    assert unresponsive == ["e2"]
    entry = ticket(arrived_at=now)
    pools.enqueue(entry, now)
    assert entry.coordinator == "e3"


def test_an_instance_cut_off_from_all_coordinators_places_short_waits_itself():
    info_by_instance = {"e1": InstanceInfo("north")}
    info_by_instance |= {
        f"e{number}": InstanceInfo("north", 2.0) for number in range(2, 30)
    }
    pools = large_pools(info_by_instance=info_by_instance)
    now, served = 0.0, 0
    while now < 2.0:
        entry = ticket(arrived_at=now)
        pools.enqueue(entry, now)
        now += 0.08
        pools.reassign_waiting(now)
        for granted, _ in pools.match(now):
            served += 1
            pools.release(granted, 0.05, now)
        pools.withdraw(entry)
    assert served > 10


def test_only_who_places_requests_looks_at_them_often():
    coordinator, waiting = large_pools("e1"), large_pools("e2")
    info_by_instance = {
        "e1": InstanceInfo("north", capacity=2.0),
        "e2": InstanceInfo("north", capacity=1.0),
    }
    for pools in (coordinator, waiting):
        pools.coordinators.set_instances(sorted(info_by_instance), info_by_instance)
        assert pools.next_check_seconds(0.0) == CHECK_SECONDS
        pools.enqueue(ticket(arrived_at=0.0), 0.0)
    assert coordinator.next_check_seconds(0.0) == PLACING_CHECK_SECONDS
    assert waiting.next_check_seconds(0.0) == CHECK_SECONDS
    silent = 1.1 * LARGE_FLEET_FALLBACK_SECONDS
    assert waiting.next_check_seconds(silent) == PLACING_CHECK_SECONDS


def test_a_lost_slot_request_does_not_make_a_coordinator_unresponsive():
    info_by_instance = {"e1": InstanceInfo("north"), "e2": InstanceInfo("north", 2.0)}
    pools = large_pools(info_by_instance=info_by_instance)
    lost = ticket(arrived_at=0.0)
    pools.enqueue(lost, 0.0)
    pools.withdraw(lost)
    pools.enqueue(ticket(arrived_at=5.0), 5.0)
    assert pools.reassign_waiting(5.02) == []


def test_a_reported_wait_is_used_until_it_expires():
    info_by_instance = {"e1": InstanceInfo("north"), "e2": InstanceInfo("north", 1.0)}
    pools = large_pools(info_by_instance=info_by_instance)
    pools.cell_reports.record_wait(NORTH, (0, 0), 0.8, 0.0)
    assert pools.expected_wait(SERVICE, (0, 0), 0.1) == 0.8
    assert pools.expected_wait(SERVICE, (1, 0), 0.1) == 0.0
    assert pools.expected_wait(SERVICE, (0, 0), 1.1 * WAIT_VALIDITY_SECONDS) == 0.0


def test_the_instances_with_the_highest_capacity_coordinate():
    coordinators = Coordinators("e1")
    info_by_instance = {
        f"e{number}": InstanceInfo("north", 0.5) for number in range(1, 9)
    }
    info_by_instance["e5"] = InstanceInfo("north", 2.0)
    coordinators.set_instances(sorted(info_by_instance), info_by_instance)
    assert coordinators.choose(SERVICE, 0.0, "north") == "e5"
    coordinators.mark_unresponsive("e5", 0.0)
    assert coordinators.choose(SERVICE, 0.0, "north") != "e5"


def test_the_backoff_of_an_unresponsive_coordinator_grows_until_it_answers():
    coordinators = Coordinators("e1")
    info_by_instance = {"e1": InstanceInfo("north"), "e2": InstanceInfo("north", 1.0)}
    coordinators.set_instances(sorted(info_by_instance), info_by_instance)
    now, chosen_count = 0.0, 0
    while now < 60.0:
        if coordinators.choose(SERVICE, now) == "e2":
            chosen_count += 1
            coordinators.mark_unresponsive("e2", now)
        now += ANSWER_TIMEOUT_SECONDS
    assert chosen_count <= 4 + 60.0 / MAX_BACKOFF_SECONDS
    coordinators.record_answer("e2", now)
    coordinators.mark_unresponsive("e2", now)
    assert coordinators.choose(SERVICE, now + 1.1 * MIN_BACKOFF_SECONDS) == "e2"


TERMS = WorkspaceTerms("w1", rate=1000.0, burst=10_000.0)
CONSUMPTION = st.lists(st.tuples(st.integers(0, 5), st.integers(1, 900)), max_size=40)


@given(CONSUMPTION, st.randoms())
def test_relayed_consumption_counts_once_on_every_instance(consumption, rng):
    """Two data centres of three instances each; the first of each is the relay."""
    instances = [SharedAllowances() for _ in range(6)]
    names = [f"e{number}" for number in range(6)]

    def report(sender, receiver, scope):
        counters = instances[sender].counters_for(scope, names[receiver])
        instances[receiver].apply_peer_counters(names[sender], 1, counters, scope)

    def report_all():
        for member, relay in ((1, 0), (2, 0), (4, 3), (5, 3)):
            report(member, relay, Scope.OWN)
        report(0, 3, Scope.DATA_CENTRE)
        report(3, 0, Scope.DATA_CENTRE)
        for member, relay in ((1, 0), (2, 0), (4, 3), (5, 3)):
            report(relay, member, Scope.OTHERS)

    for allowances in instances:
        allowances.ensure_buckets([TERMS], 0.0)
    report_all()
    consumed = 0
    for index, amount in consumption:
        if not instances[index].consume(TERMS, amount, 0.0):
            consumed += amount
        if rng.random() < 0.3:
            report_all()
    report_all()
    report_all()
    for allowances in instances:
        level = allowances._bucket_by_workspace["w1"].level
        assert level == pytest.approx(TERMS.burst - consumed)


def test_a_relay_that_is_used_again_does_not_forward_consumption_twice():
    # During a rolling restart of a large fleet, consumption counted twice used up the
    # allowances: half of the requests of the last eight seconds were refused with 429.
    first, second, member, far = (SharedAllowances() for _ in range(4))
    for allowances in (first, second, member, far):
        allowances.ensure_buckets([TERMS], 0.0)

    def report(relay, name, now):
        relay.apply_peer_counters(
            "m", 1, member.counters_for(Scope.OWN, name), Scope.OWN, now
        )
        counters = relay.counters_for(Scope.DATA_CENTRE, "f")
        far.apply_peer_counters(name, 1, counters, Scope.DATA_CENTRE, now)

    report(first, "r1", 0.0)
    report(second, "r2", 0.0)
    member.consume(TERMS, 100, 0.0)
    report(first, "r1", 0.5)
    for step in range(1, 9):
        member.consume(TERMS, 100, 0.0)
        report(second, "r2", 0.5 + step * 0.5)
    member.consume(TERMS, 100, 0.0)
    report(first, "r1", 5.0)
    member.consume(TERMS, 100, 0.0)
    report(first, "r1", 5.5)
    counted = TERMS.burst - far._bucket_by_workspace["w1"].level
    consumed = TERMS.burst - member._bucket_by_workspace["w1"].level
    assert consumed - 200 <= counted <= consumed


def make_exchange(instance, data_centre, info_by_instance):
    """Return the exchange of an instance of a large fleet, and its allowances."""
    allowances = SharedAllowances()
    allowances.ensure_buckets([TERMS], 0.0)
    pools = make_pools(instance=instance, data_centre=data_centre)
    settings = SimpleNamespace(instance=instance, data_centre=data_centre)
    exchange = Exchange(
        settings,
        1,
        Lock(),
        pools,
        allowances,
        Freshness(5.0),
        Registry(time.monotonic),
        time.monotonic,
    )
    exchange.peer_states = SimpleNamespace(record=lambda *position: None)
    exchange.set_instances(info_by_instance, is_full_mesh=False)
    return exchange, allowances


def test_a_coordinator_decides_once_on_reports_that_arrive_together():
    # At three times the load, a coordinator that decided on each of 1,500 reports per
    # second no longer answered, and the requests were refused.
    info_by_instance = {f"e{number}": InstanceInfo("north") for number in range(2, 40)}
    info_by_instance["e1"] = InstanceInfo("north", 2.0)
    exchange, _ = make_exchange("e1", "north", info_by_instance)
    later, sent, matches = [], [], []
    exchange.gossip = SimpleNamespace(
        call_later=lambda seconds, callback: later.append(callback),
        send_to_all_soon=lambda message: None,
        send_soon=lambda names, message: sent.append((names, message)),
    )
    exchange.match = lambda: matches.append(1) or set()
    for number in range(2, 40):
        waiting = WaitingRequest(
            1, SERVICE, (0, 0), 0.0, coordinator="e1", time_left=3.0
        )
        report = Report(f"e{number}", "north", 1, 1, waiting=(waiting,))
        exchange.handle_report(report)
    assert (len(later), len(matches)) == (1, 0)
    later[0]()
    assert len(matches) == 1
    assert sorted(name for names, _ in sent for name in names) == sorted(
        info_by_instance.keys() - {"e1"}
    )


def test_consumption_reported_by_two_relays_of_a_data_centre_counts_once():
    # After a change of the fleet, instances disagree on the relay for a moment.
    info_by_instance = {
        "e1": InstanceInfo("north"),
        "s1": InstanceInfo("south", 2.0),
        "s2": InstanceInfo("south", 1.0),
    }
    exchange, allowances = make_exchange("e1", "north", info_by_instance)
    exchange.gossip = SimpleNamespace(call_later=lambda seconds, callback: None)
    for number, consumed in ((1, 0.0), (2, 500.0)):
        for name in ("s1", "s2"):
            shared_state = SharedState(
                scope=Scope.DATA_CENTRE, consumed_by_workspace={"w1": consumed}
            )
            exchange.handle_report(
                Report(name, "south", 1, number, shared_state=shared_state)
            )
    level = allowances._bucket_by_workspace["w1"].level
    assert level == pytest.approx(TERMS.burst - 500.0)


def report_failures(pools, *names, failures=2, finished=3):
    """Let two peers report failures of some targets."""
    stats_by_target = {
        name: TargetStats(0.0, 1.0, finished, failures) for name in names
    }
    for peer in ("e2", "e3"):
        load = PeerLoad(0.0, {}, stats_by_target=stats_by_target)
        pools.fleet.update(peer, load)


def test_failures_on_several_instances_limit_a_target():
    # Each instance of a large fleet sends one request in two seconds to a target. On
    # its own it would take half a minute to detect that every third one fails.
    pools = make_pools(record("t1"), record("t2"), record("t3"))
    report_failures(pools, "t1")
    for _ in range(18):
        pools.enqueue(ticket(), 1.0)
    pools.match(1.0)
    running = {
        name: s.running_here for name, s in pools.targets.state_by_target.items()
    }
    assert running == {"t1": 1, "t2": 6, "t3": 6}


def test_if_most_targets_fail_none_is_limited():
    # Limiting all targets to single requests would not serve any request better.
    pools = make_pools(record("t1"), record("t2"), record("t3"))
    report_failures(pools, "t1", "t2")
    for _ in range(18):
        pools.enqueue(ticket(), 1.0)
    assert len(pools.match(1.0)) == 18


def test_a_target_that_is_slow_for_peers_is_avoided():
    pools = make_pools(record("t1"), record("t2"))
    slow = {"t1": TargetStats(0.0, 4.0, 5, 0), "t2": TargetStats(0.0, 1.0, 5, 0)}
    pools.fleet.update("e2", PeerLoad(0.0, {}, stats_by_target=slow))
    for _ in range(3):
        pools.enqueue(ticket(), 1.0)
    assert {entry.target for entry, _ in pools.match(1.0)} == {"t2"}


@pytest.mark.parametrize("seed", range(3))
def test_overflow_is_spread_over_data_centres_by_their_free_slots(seed):
    pools = large_pools()
    pools.cell_reports.rng = random.Random(seed)
    pools.cell_reports.record_load(CellLoad(SOUTH, 10, 48), 0.0)
    pools.cell_reports.record_load(CellLoad(Cell(SERVICE, "east"), 40, 48), 0.0)
    cells = [SOUTH, Cell(SERVICE, "east")]
    chosen = [pools.cell_reports.choose_overflow(cells, 0.0) for _ in range(500)]
    assert 0.1 < chosen.count(SOUTH) / 500 < 0.3


def test_grants_after_a_restart_of_their_coordinator_are_not_acknowledged_early():
    # Its grants have lower numbers than before if its clock was set back.
    exchange, _ = make_exchange("e1", "north", {"s1": InstanceInfo("south")})
    exchange.gossip = SimpleNamespace(call_later=lambda seconds, callback: None)
    exchange.handle_report(Report("s1", "south", 2000, 1))
    exchange.pools.latest_grant_by_coordinator["s1"] = 200_005
    exchange.handle_report(Report("s1", "south", 2000, 2))
    assert exchange.pools.latest_grant_by_coordinator["s1"] == 200_005
    exchange.handle_report(Report("s1", "south", 1000, 1))
    assert "s1" not in exchange.pools.latest_grant_by_coordinator
