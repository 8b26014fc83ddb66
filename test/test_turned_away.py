"""Some gateways are turned away by the store while the configuration changes."""

import time

import pytest

from .storefleet import (
    APPLY_SECONDS,
    REVOKE_SECONDS,
    StoreFleet,
    make_target,
)

# Time within which a change must be in force at a gateway without a way to the store.
STRETCH_SECONDS = 5.0


@pytest.fixture
def fleet_and_target(tmp_path):
    with StoreFleet(tmp_path, count=3) as fleet, make_target() as target:
        fleet.list_target("t1", target)
        fleet.configure_routes(1)
        fleet.start()
        yield fleet, target


def test_a_gateway_turned_away_applies_a_change_that_its_peers_read(fleet_and_target):
    # It kept the version that it had and answered 404 on the route that was added.
    fleet, _ = fleet_and_target
    fleet.turn_away(fleet.addresses[2])
    time.sleep(0.5)
    fleet.configure_routes(4, added=[4])
    assert fleet.wait_for_statuses("/added4/1", 200, APPLY_SECONDS + STRETCH_SECONDS)
    fleet.configure_routes(6, added=[6])
    assert fleet.wait_for_statuses("/added6/1", 200, APPLY_SECONDS + STRETCH_SECONDS)
    assert fleet.wait_for_statuses("/added4/1", 404, APPLY_SECONDS)


def test_a_gateway_turned_away_learns_of_listed_targets_from_its_peers(
    fleet_and_target,
):
    fleet, target = fleet_and_target
    cut = fleet.addresses[2]
    fleet.turn_away(cut)
    time.sleep(0.5)
    with make_target() as added:
        fleet.list_target("t2", added)
        fleet.list_target("t1", target, state="draining")
        time.sleep(APPLY_SECONDS)
        seen = len(target.seen)
        statuses = [fleet.call("/look/1", cut).status for _ in range(10)]
        assert statuses == [200] * 10
        assert len(added.seen) >= 10
        assert len(target.seen) == seen


def test_a_route_is_not_denied_out_of_a_configuration_that_may_be_old(tmp_path):
    # 404 states that no route exists, which a gateway without the store cannot know.
    with StoreFleet(tmp_path, count=1) as fleet, make_target() as target:
        fleet.list_target("t1", target)
        fleet.configure_routes(1)
        fleet.start()
        assert fleet.statuses("/added2/1") == [404]
        fleet.turn_away(fleet.addresses[0])
        fleet.configure_routes(2, added=[2])
        time.sleep(REVOKE_SECONDS)
        response = fleet.call("/added2/1")
        assert response.status == 503
        assert 0.0 < float(response.headers["Retry-After"]) <= APPLY_SECONDS
        fleet.let_in(fleet.addresses[0])
        assert fleet.wait_for_statuses("/added2/1", 200, APPLY_SECONDS)
        assert fleet.statuses("/added9/1") == [404]
