"""Targets that name in their responses how many requests a second they take."""

import time

import pytest

from almondglade.placement.ratelimits import EXPIRY_SECONDS

from .limitedfleet import CONTACT_SECONDS, LimitedFleet, max_requests

OBSERVED_SECONDS = 8.0
# A limit is to be used as far as it goes.
MIN_USED_SHARE = 0.8
# A limit that only failures named ends this long after the last of them.
MAX_EXPIRY_SECONDS = 10.0


def check_rate_is_held_and_used(targets, rate, since, until):
    for target in targets:
        assert target.most_in_window(since, until) <= max_requests(rate)
    used = sum(target.count(since, until) for target in targets)
    allowed = len(targets) * rate * (until - since)
    assert used >= MIN_USED_SHARE * allowed - len(targets)


# A target got its usual rate whatever it named, as nothing read the header.
@pytest.mark.parametrize(
    ("rate", "path", "method"),
    [(2.6, "/look/", "GET"), (1.0, "/book/", "POST"), (0.4, "/look/", "GET")],
)
def test_a_target_gets_no_more_than_the_rate_that_it_names(
    tmp_path, rate, path, method
):
    with LimitedFleet(tmp_path, 3) as fleet:
        fleet.send_requests(path, method)
        time.sleep(1.0)
        for target in fleet.targets:
            target.limit = str(rate)
        since = time.monotonic() + CONTACT_SECONDS
        time.sleep(CONTACT_SECONDS + OBSERVED_SECONDS)
        until = time.monotonic()
    check_rate_is_held_and_used(fleet.targets, rate, since, until)


# Each gateway that begins or ends to coordinate could grant the whole rate anew.
def test_a_named_rate_holds_while_gateways_are_killed(tmp_path):
    rate = 4.0
    with LimitedFleet(tmp_path, 4) as fleet:
        for target in fleet.targets:
            target.limit = str(rate)
        fleet.send_requests()
        since = time.monotonic() + CONTACT_SECONDS
        for index in (0, 1, 2, 3):
            time.sleep(2.0)
            fleet.kill(index)
            time.sleep(0.5)
            fleet.restart(index)
        until = time.monotonic()
    for target in fleet.targets:
        assert target.most_in_window(since, until) <= max_requests(rate)


# Each success without the header ended a limit that only failures named.
@pytest.mark.parametrize("rate", [2.6, 0.4])
def test_a_rate_that_only_failures_name_holds(tmp_path, rate):
    with LimitedFleet(tmp_path, 3, target_count=8) as fleet:
        fleet.send_requests()
        time.sleep(1.0)
        for target in fleet.targets:
            target.limit = str(rate)
            target.failure_statuses = ("500 Failed", "503 Busy")
        since = time.monotonic() + CONTACT_SECONDS
        time.sleep(CONTACT_SECONDS + OBSERVED_SECONDS)
        until = time.monotonic()
    check_rate_is_held_and_used(fleet.targets, rate, since, until)


# Peers heard of the limit when it was named first, and no more of it.
def test_coordinators_hear_that_failures_still_name_a_rate(tmp_path):
    with LimitedFleet(tmp_path, 3) as fleet:
        for target in fleet.targets:
            target.limit = "2"
            target.failure_statuses = ("500 Failed",)
        fleet.send_requests()
        time.sleep(EXPIRY_SECONDS + 2.0)
        logs = "".join(map(fleet.log, fleet.addresses))
    assert "limit of a target changed" in logs
    assert '"source": "expiry"' not in logs


def test_a_rate_that_only_failures_named_ends_without_failures(tmp_path):
    with LimitedFleet(tmp_path, 3) as fleet:
        for target in fleet.targets:
            target.limit = "0.4"
            target.failure_statuses = ("500 Failed",)
        fleet.send_requests()
        time.sleep(4.0)
        for target in fleet.targets:
            target.limit, target.failure_statuses = None, ()
        time.sleep(MAX_EXPIRY_SECONDS)
        since = time.monotonic()
        time.sleep(2.0)
        until = time.monotonic()
    statuses = [status for at, status in fleet.statuses if since <= at < until]
    assert statuses.count(200) >= 0.95 * len(statuses)


# A limit must not outlast the need of the target that named it.
def test_a_rate_limit_ends_when_the_target_no_longer_names_it(tmp_path):
    with LimitedFleet(tmp_path, 3) as fleet:
        for target in fleet.targets:
            target.limit = "0.5"
        fleet.send_requests()
        time.sleep(4.0)
        for target in fleet.targets:
            target.limit = None
        # The next request to each target, and a resent datagram, tell all gateways.
        time.sleep(3.0)
        since = time.monotonic()
        time.sleep(2.0)
        until = time.monotonic()
    statuses = [status for at, status in fleet.statuses if since <= at < until]
    assert statuses.count(200) >= 0.95 * len(statuses)


def test_callers_are_refused_at_once_when_the_named_rates_are_used_up(tmp_path):
    with LimitedFleet(tmp_path, 1) as fleet:
        for target in fleet.targets:
            target.limit = "1"
        fleet.send_requests()
        time.sleep(3.0)
        waits = []
        for _ in range(10):
            started_at = time.monotonic()
            response = fleet.call("/look/1")
            if response.status != 200:
                waits.append(time.monotonic() - started_at)
                assert response.status == 503
                assert float(response.headers["Retry-After"]) >= 1.0
    assert sorted(waits)[len(waits) // 2] < 0.1
