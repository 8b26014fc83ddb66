"""A gateway whose declared link is slow, as a separate process."""

import time

from .gatewayfleet import GatewayFleet, make_response
from .support.targets import FakeTarget

SECONDS = 6.0
RESPONSE = bytes(50_000)
# Declared, not enforced here: 125 kB in a second, of which the callers ask for more.
LINK_MBPS = 1.0


def test_a_gateway_refuses_what_its_link_does_not_carry(tmp_path):
    target = FakeTarget(lambda request: make_response(RESPONSE, request=request))
    limits = {"linkMbps": LINK_MBPS}
    with GatewayFleet(tmp_path, machine=limits) as fleet, target:
        fleet.list_target("t1", target)
        fleet.start()
        end = time.monotonic() + SECONDS
        responses = []
        while time.monotonic() < end:
            responses.append(fleet.call("/look/1"))
        statuses = [response.status for response in responses]
        assert set(statuses) == {200, 503}
        # From the first decision on.
        served = statuses[statuses.index(503) :].count(200)
        assert served * len(RESPONSE) <= LINK_MBPS * 125_000 * SECONDS
        refused = next(r for r in responses if r.status == 503)
        assert refused.headers["Retry-After"] == "1.00"
        assert refused.headers["X-Almondglade-Outcome"] == "not-run"
        assert "own limit changed" in fleet.log()
        # No better instance could take its callers.
        assert fleet.is_ready()
