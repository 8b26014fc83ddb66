"""A request that crashes each target that runs it, sent again by its caller."""

import time

import pytest

from .crashingfleet import (
    BYSTANDER_PAUSE_SECONDS,
    CONTACT_SECONDS,
    CRASHING_PATH,
    MAX_LATE_RUNS,
    CrashingFleet,
)

REPEATING_CALLERS = 3
REPEAT_PAUSE_SECONDS = 0.4
# Long enough for three crashes, the time limit after them and repeats after it.
OBSERVED_SECONDS = 12.0
BYSTANDERS = [f"/look/bystander-{number}" for number in range(4)]


# The entry of a crashed target is removed at once, or after three missed heartbeats.
@pytest.fixture(
    scope="module",
    params=[("GET", 0.0), ("POST", 0.0), ("GET", 3.6)],
    ids=["idempotent", "non-idempotent", "entries removed late"],
)
def crashing_fleet(request, tmp_path_factory):
    """A fleet after a crashing request was repeated beside others.

    A gateway was killed and started again meanwhile.
    """
    method, removal_seconds = request.param
    with CrashingFleet(
        tmp_path_factory.mktemp("fleet"), count=3, removal_seconds=removal_seconds
    ) as fleet:
        for path in BYSTANDERS:
            fleet.repeat(path, BYSTANDER_PAUSE_SECONDS)
        for _ in range(REPEATING_CALLERS):
            fleet.repeat(CRASHING_PATH, REPEAT_PAUSE_SECONDS, method)
        time.sleep(OBSERVED_SECONDS / 3)
        fleet.kill(2)
        time.sleep(1.0)
        fleet.restart(2)
        time.sleep(2 * OBSERVED_SECONDS / 3 - 1.0)
    return fleet


# A request that crashed three targets was sent to targets again and again.
def test_a_request_that_crashed_three_targets_is_not_sent_to_more(crashing_fleet):
    crashes = [
        round(at - crashing_fleet.crashes[0][0], 2) for at, _ in crashing_fleet.crashes
    ]
    assert len(crashing_fleet.late_runs()) <= MAX_LATE_RUNS, crashes


# Requests beside a crashing one were not served while it crashed target after target.
def test_other_requests_are_served_beside_a_crashing_one(crashing_fleet):
    settled_at = crashing_fleet.crashes[0][0] + CONTACT_SECONDS + 4.0
    shares = [crashing_fleet.served_share(path, settled_at) for path in BYSTANDERS]
    assert min(shares) >= 0.95, shares
