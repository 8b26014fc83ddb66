"""A request that crashes each target that runs it, sent again by its caller."""

import time

import pytest

from soak.targets import CRASHING_PATH_END

from .crashingfleet import (
    BYSTANDER_PAUSE_SECONDS,
    CONTACT_SECONDS,
    MAX_CRASHES,
    MAX_LATE_RUNS,
    RESTART_SECONDS,
    CrashingFleet,
)

REPEATING_CALLERS = 3
REPEAT_PAUSE_SECONDS = 0.4
# Long enough for three crashes, the time limit after them and repeats after it.
OBSERVED_SECONDS = 12.0
# Time after the last start of a gateway or target until all requests are served.
SETTLE_SECONDS = 2.0
# Longer than the Retry-After time of an overloaded service.
LONG_RETRY_AFTER_SECONDS = 60.0
# Makes a response take long enough to be in progress when its target crashes.
SLOWDOWN = 8.0
REPEATED_CRASHES = 3
CRASHING_PATH = f"/look{CRASHING_PATH_END}"
BYSTANDERS = [f"/look/bystander-{number}" for number in range(4)]


def is_barred(response):
    """Return whether a response refuses a request for a long time."""
    retry_after = float(response.headers.get("Retry-After", 0.0))
    return response.status == 503 and retry_after > LONG_RETRY_AFTER_SECONDS


# The entry of a crashed target is removed at once, or after three missed heartbeats.
@pytest.fixture(
    scope="module",
    params=[
        ("look", 0.0),
        ("book", 0.0),
        ("stream", 3.6),
        ("once", 0.0),
        ("once/unframed", 0.0),
    ],
    ids=[
        "idempotent",
        "non-idempotent",
        "stream, entry removed late",
        "stream that cannot be resumed",
        "stream without length or chunks",
    ],
)
def crashing_fleet(request, tmp_path_factory):
    """A fleet after a crashing request was repeated beside others.

    A gateway was killed and started again meanwhile.
    """
    route, removal_seconds = request.param
    with CrashingFleet(
        tmp_path_factory.mktemp("fleet"), count=3, removal_seconds=removal_seconds
    ) as fleet:
        for path in BYSTANDERS:
            fleet.repeat(path, BYSTANDER_PAUSE_SECONDS)
        for _ in range(REPEATING_CALLERS):
            fleet.repeat(
                f"/{route}{CRASHING_PATH_END}", REPEAT_PAUSE_SECONDS, method="POST"
            )
        time.sleep(OBSERVED_SECONDS / 3)
        fleet.kill(2)
        time.sleep(1.0)
        fleet.restart(2)
        fleet.wait_until_ready()
        crashed_at = fleet.crashes[0][0] + CONTACT_SECONDS + RESTART_SECONDS
        fleet.settled_at = max(time.monotonic(), crashed_at) + SETTLE_SECONDS
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
    fleet = crashing_fleet
    shares = [fleet.served_share(path, fleet.settled_at) for path in BYSTANDERS]
    assert min(shares) >= 0.95, shares


# A gateway that had just started sent a barred request to more targets.
def test_a_gateway_that_starts_learns_of_barred_requests(tmp_path):
    with CrashingFleet(tmp_path, count=2) as fleet:
        while not is_barred(fleet.call(CRASHING_PATH, fleet.addresses[0])):
            assert len(fleet.crashes) <= MAX_CRASHES
            time.sleep(REPEAT_PAUSE_SECONDS)
        fleet.kill(1)
        fleet.restart(1)
        fleet.wait_until_ready()
        crashes = len(fleet.crashes)
        assert is_barred(fleet.call(CRASHING_PATH, fleet.addresses[1]))
        assert len(fleet.crashes) == crashes


# Requests on connections that are reset, while their targets live on, were barred.
def test_requests_on_reset_connections_are_not_barred(tmp_path):
    with CrashingFleet(tmp_path) as fleet:
        for target in fleet.targets:
            target.on_crash = lambda target: target.reset_connections()
        for _ in range(12):
            assert fleet.call(CRASHING_PATH).status in (502, 503)
            time.sleep(REPEAT_PAUSE_SECONDS)
        assert fleet.log().count("run broke off") >= MAX_CRASHES + 1
        assert "target ended while it ran requests" not in fleet.log()
        assert "it has crashed targets" not in fleet.log()


# Requests that end with the targets of a whole data centre were barred, and so was a
# popular one that ran on all of them.
def test_requests_that_crash_with_a_data_centre_are_not_barred(tmp_path):
    with CrashingFleet(tmp_path, count=2) as fleet:
        for target in fleet.targets:
            target.slowdown = SLOWDOWN
        for path in ["/look/popular", "/look/popular", *BYSTANDERS]:
            fleet.repeat(path, BYSTANDER_PAUSE_SECONDS)
        for _ in range(REPEATED_CRASHES):
            time.sleep(1.0)
            for target in fleet.targets[: fleet.target_count // 2]:
                fleet.crash(target)
            time.sleep(RESTART_SECONDS)
        logs = [fleet.log(address) for address in fleet.addresses]
        assert any("target ended while it ran requests" in log for log in logs)
        assert not any("request barred" in log for log in logs)
