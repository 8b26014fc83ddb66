"""Targets that fall over when they must turn away too many requests in a second."""

import time

import pytest

from .brittlefleet import BrittleFleet

CALLERS = 24
CALLER_PAUSE_SECONDS = 0.01
OBSERVED_SECONDS = 10.0


# Nobody learnt from a refusal that a target had less room than its slots.
@pytest.mark.parametrize("room", [4, 2])
def test_brittle_targets_with_less_room_than_slots_do_not_fall_over(tmp_path, room):
    with BrittleFleet(tmp_path, 3) as fleet:
        fleet.send_requests(callers=CALLERS, pause=CALLER_PAUSE_SECONDS)
        time.sleep(2.0)
        fleet.set_brittle()
        time.sleep(3.0)
        for target in fleet.targets:
            target.room = room
        since = time.monotonic()
        time.sleep(OBSERVED_SECONDS)
        until = time.monotonic()
        falls, served = fleet.falls, fleet.served(since, until)
    assert falls <= fleet.max_falls
    assert served > 0.5 * OBSERVED_SECONDS * CALLERS


# A gateway that starts anew, or two that both grant slots, count too little.
def test_brittle_targets_do_not_fall_over_while_gateways_are_killed(tmp_path):
    with BrittleFleet(tmp_path, 3) as fleet:
        fleet.set_brittle()
        fleet.send_requests(callers=CALLERS, pause=CALLER_PAUSE_SECONDS)
        time.sleep(3.0)
        for index in (0, 1, 2):
            time.sleep(2.0)
            fleet.kill(index)
            time.sleep(0.5)
            fleet.restart(index)
        time.sleep(2.0)
        falls = fleet.falls
    assert falls <= fleet.max_falls
