"""Targets that name in their responses how many requests a second they take."""

import time

import pytest

from .limitedfleet import CONTACT_SECONDS, LimitedFleet, max_requests

OBSERVED_SECONDS = 8.0
# A limit is to be used as far as it goes.
MIN_USED_SHARE = 0.8


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
    for target in fleet.targets:
        assert target.most_in_window(since, until) <= max_requests(rate)
    used = sum(target.count(since, until) for target in fleet.targets)
    allowed = len(fleet.targets) * rate * (until - since)
    assert used >= MIN_USED_SHARE * allowed - len(fleet.targets)
