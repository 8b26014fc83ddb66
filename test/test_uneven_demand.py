"""Demand that swings between data centres, and load that moves ahead of queues."""

import random
from dataclasses import replace
from types import SimpleNamespace

import msgpack
import pytest

from almondglade.errors import PeerError
from almondglade.gateway.balancing import record_demand_changes
from almondglade.gossip.codec import decode, encode
from almondglade.gossip.demandfields import ARRIVALS_FIELD, DEMAND_FIELD
from almondglade.gossip.messages import Report, SharedState
from almondglade.placement.arrivals import Arrivals
from almondglade.placement.cells import Cell
from almondglade.placement.demand import (
    MAX_GIVEN_SHARE,
    MAX_RISE_PER_SECOND,
    TAKEN_SHARE,
    Demand,
    DemandBalances,
    DemandChange,
    limit_change,
    plan,
)
from almondglade.placement.outlook import LOAD_VALIDITY_SECONDS, CellLoad

from .placing import SERVICE
from .waves import DATA_CENTRES, Load, make_fleet, replay

SECONDS = 24
EAST, NORTH, WEST = (Cell(SERVICE, name) for name in DATA_CENTRES)


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_waves_are_served_sooner_than_by_overflow_alone(seed):
    load = Load()
    before = replay(load, SECONDS, seed, is_active=False)
    after = replay(load, SECONDS, seed, is_active=True)
    assert after.sent == before.sent
    assert after.refused <= before.refused
    assert after.mean_wait < before.mean_wait
    late_before, late_after = (
        sum(wait > 0.25 for wait in day.waits) for day in (before, after)
    )
    assert late_after <= late_before
    assert after.moved[SERVICE, "demand"] > 0
    # A wave has one begin and one end in each cell; at most twice as many changes.
    waves = len(DATA_CENTRES) * SECONDS / load.period
    for kind in ("give", "take"):
        assert sum(change.kind == kind for change in after.changes) <= 2 * 2 * waves
    given = [share for _, _, share, _, _ in after.shares]
    assert max(given) <= MAX_GIVEN_SHARE
    for cell in (EAST, NORTH, WEST):
        shares = [share for _, own, share, _, _ in after.shares if own == cell]
        rises = [new - old for old, new in zip(shares, shares[1:], strict=False)]
        assert max(rises) <= 1.01 * MAX_RISE_PER_SECOND


def test_even_demand_changes_nothing():
    load = Load(swing=0.0, is_even=True)
    before = replay(load, 10, 1, is_active=False)
    after = replay(load, 10, 1, is_active=True)
    assert after.waits == before.waits
    assert (after.moved[SERVICE, "demand"], after.changes) == (0, [])
    assert not any(share for _, _, share, _, _ in after.shares)


def lose_half(fleet):
    """Let half of the targets of the north leave."""
    for pools in fleet.values():
        for state in pools.targets.states_by_cell[NORTH][::2]:
            state.record = replace(state.record, leaving=True)


@pytest.mark.parametrize("seed", (1, 2))
def test_a_data_centre_that_loses_half_of_its_targets_gives_load(seed):
    load = Load(mean=0.7, swing=0.0)
    before, after = (
        replay(load, 14, seed, is_active, {4: lose_half}) for is_active in (False, True)
    )
    assert after.refused <= before.refused
    assert after.mean_wait <= before.mean_wait
    assert any(share > 0 for now, cell, share, _, _ in after.shares if cell == NORTH)
    assert not any(share for _, cell, share, _, _ in after.shares if cell != NORTH)


def test_a_cut_leaves_each_data_centre_on_its_own_and_load_moves_again_after_it():
    def is_cut(first, second, now):
        return first != second and 6.0 <= now < 14.0

    day = replay(Load(), SECONDS, 1, True, is_cut=is_cut)
    # Requests of before the last reports expired may still move.
    begins = 6 + int(LOAD_VALIDITY_SECONDS) + 1
    assert not any(day.moved_by_second[second] for second in range(begins, 14))
    assert sum(day.moved_by_second[second] for second in range(16, SECONDS)) > 0


def test_without_reports_of_the_coordinator_requests_stay_as_before():
    pools = next(iter(make_fleet(Load(), True, random.Random(1)).values()))
    load = CellLoad(EAST, 0, 48, demand=Demand(70.0, 0.0, {"north": 0.3}))
    pools.cell_reports.record_load(load, 0.0)
    assert pools.given_shares(EAST, 0.5) == {"north": 0.3}
    assert pools.given_shares(EAST, 1.1 * LOAD_VALIDITY_SECONDS) == {}


def test_givers_together_fill_no_cell():
    loads = {
        EAST: CellLoad(EAST, 0, 48, 1.0, Demand(70.0)),
        NORTH: CellLoad(NORTH, 0, 48, 1.0, Demand(90.0)),
        WEST: CellLoad(WEST, 20, 48, 1.0, Demand(20.0)),
    }
    moved = 0.0
    for cell in (EAST, NORTH):
        others = [load for other, load in loads.items() if other != cell]
        given = plan(loads[cell].demand, 48, others)
        assert set(given) == {"west"}
        moved += given["west"] * loads[cell].demand.slots
    assert 20.0 + moved <= TAKEN_SHARE * 48 + 1e-6
    former = [replace(load, demand=None) for load in loads.values()]
    assert plan(Demand(70.0), 48, former[1:]) == {}


def test_a_share_ends_at_once_for_a_data_centre_that_is_lost():
    given = limit_change({"north": 0.3, "west": 0.2}, {"west": 0.2}, {"west"}, 0.1)
    assert given == {"west": 0.2}


def test_counters_lose_no_arrivals_and_a_restart_adds_none():
    arrivals = Arrivals()
    for step in range(31):
        if step % 4 != 1:
            arrivals.record("e1", 5 * step, 0.1 * step + 0.05)
    arrivals.record("e1", 2, 3.06)
    rate = arrivals.rate(3.1)
    assert rate.now == pytest.approx(50.0, rel=0.1)


def test_operators_see_changes_and_moves_once():
    balances, counts = DemandBalances(), []
    balances.add_changes([DemandChange(EAST, "give", True, 70.0, 48, {}, 1.0)])
    balances.record_move(SERVICE, "demand")
    metrics = SimpleNamespace(
        count=lambda *args, **labels: counts.append((args, labels))
    )
    for _ in range(2):
        record_demand_changes(balances, metrics)
    labels = {"service": SERVICE, "kind": "demand"}
    assert counts == [(("moved_requests_total", 1), labels)]
    assert balances.take_changes() == []


def demand_report():
    """Return a report with arrivals and the demand of one of two cells."""
    demand = Demand(61.5, -3.2, {"north": 0.25})
    cells = (CellLoad(EAST, -3, 48, 0.4, demand), CellLoad(WEST, 9, 48, 0.4))
    state = SharedState(cells=cells)
    return Report(
        "e1", "east", 1, 1, shared_state=state, arrivals_by_service={SERVICE: 1234}
    )


def test_reports_carry_demand_in_few_bytes_and_earlier_releases_ignore_it():
    report = demand_report()
    decoded = decode(encode(report))
    assert decoded.shared_state.cells == report.shared_state.cells
    assert decoded.arrivals_by_service == {SERVICE: 1234}
    plain_state = SharedState(
        cells=tuple(replace(load, demand=None) for load in report.shared_state.cells)
    )
    plain = replace(report, shared_state=plain_state, arrivals_by_service={})
    assert decode(encode(plain)).shared_state == plain_state
    assert len(encode(report)) - len(encode(plain)) < 70
    # What an earlier release decodes is the same but for one entry of a map.
    fields, former = (msgpack.unpackb(encode(entry)) for entry in (report, plain))
    changed = [index for index, field in enumerate(fields) if field != former[index]]
    assert changed == [9]
    assert set(fields[9]) == {""}


@pytest.mark.parametrize(
    "fields",
    (
        {ARRIVALS_FIELD: {SERVICE: "many"}},
        {DEMAND_FIELD: [[1, 0, {}]]},
        {DEMAND_FIELD: [[-1, 0, {}], None]},
        {DEMAND_FIELD: [[1, 0, {"north": 1200}], None]},
    ),
)
def test_malformed_demand_is_rejected(fields):
    message = msgpack.unpackb(encode(demand_report()))
    message[9][""] |= fields
    with pytest.raises(PeerError):
        decode(msgpack.packb(message))
