"""A part of prompts that crashes each target that runs a request with it."""

import time

import pytest

from soak.targets import CRASHING_PART

from .crashingfleet import (
    BYSTANDER_PAUSE_SECONDS,
    CONTACT_SECONDS,
    MAX_LATE_RUNS,
    MAX_PART_CRASHES,
    RESTART_SECONDS,
    CrashingFleet,
)

CRASHING_CALLERS = 3
CRASHING_PAUSE_SECONDS = 0.4
# Requests that share their first parts with the crashing ones, and are less frequent.
RARE_PAUSE_SECONDS = 1.0
OBSERVED_SECONDS = 14.0
# The first part of all requests, and that of the crashing and the rare ones.
COMMON_PARTS = ("a0",)
SHARED_PARTS = ("c0", "c1")
CRASHING_PARTS = (*SHARED_PARTS, CRASHING_PART)


@pytest.fixture(scope="module", params=["look", "once", "once/unframed"])
def crashing_fleet(request, tmp_path_factory):
    """A fleet after requests with a crashing part were sent beside others."""
    path = f"/{request.param}"
    with CrashingFleet(tmp_path_factory.mktemp("fleet"), count=3) as fleet:
        for number in range(4):
            fleet.repeat(
                f"{path}/common-{number}", BYSTANDER_PAUSE_SECONDS, parts=COMMON_PARTS
            )
        fleet.repeat(f"{path}/rare", RARE_PAUSE_SECONDS, parts=SHARED_PARTS)
        for _ in range(CRASHING_CALLERS):
            fleet.repeat(
                f"{path}/crashing", CRASHING_PAUSE_SECONDS, parts=CRASHING_PARTS
            )
        time.sleep(OBSERVED_SECONDS)
        last_allowed = MAX_PART_CRASHES - 1
        if len(fleet.crashes) <= last_allowed:
            last_allowed = -1
        fleet.settled_at = (
            fleet.crashes[last_allowed][0] + 2 * CONTACT_SECONDS + RESTART_SECONDS
        )
    return fleet


# Requests with a part that had crashed five targets were sent to target after target,
# as no two of them were alike.
def test_requests_with_a_part_that_crashed_five_targets_do_not_run(crashing_fleet):
    crashes = [
        round(at - crashing_fleet.crashes[0][0], 2) for at, _ in crashing_fleet.crashes
    ]
    late = crashing_fleet.late_runs(MAX_PART_CRASHES)
    assert len(late) <= MAX_LATE_RUNS, crashes


# Requests that share other parts, the caller and the route with crashing ones were not
# served: targets ended beside them, or they were taken for the cause.
def test_requests_that_share_other_parts_with_crashing_ones_are_served(crashing_fleet):
    served_share_by_path = {
        path: crashing_fleet.served_share(path, crashing_fleet.settled_at)
        for path in crashing_fleet.statuses_by_path
        if not path.endswith("crashing")
    }
    assert min(served_share_by_path.values()) >= 0.9, served_share_by_path
