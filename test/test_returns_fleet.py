"""Refused callers return to another gateway, in real processes."""

import time
from concurrent.futures import ThreadPoolExecutor

import orjson

from .gatewayfleet import GatewayFleet, make_response
from .support.targets import FakeTarget

HOLD_SECONDS = 0.3
TIME_LIMIT_SECONDS = 5.0
# Twice what two slots bear.
RATE = 13.0
SECONDS = 4.0


def respond_slowly(request):
    time.sleep(HOLD_SECONDS)
    return make_response(request=request)


def call_as_told(fleet, number):
    """Call, return once at the other gateway if told to; return all statuses."""
    deadline = time.monotonic() + TIME_LIMIT_SECONDS
    statuses = []
    for attempt in range(2):
        left = deadline - time.monotonic()
        response = fleet.call(
            f"/look/{number}",
            fleet.addresses[(number + attempt) % 2],
            X_Deadline_Ms=str(round(1000 * left)),
        )
        statuses.append(response.status)
        if response.status != 503:
            break
        time.sleep(min(float(response.headers["Retry-After"]), left / 3))
    return statuses


def test_a_return_is_recognised_at_another_gateway(tmp_path):
    with (
        GatewayFleet(tmp_path, count=2, flags=("--booked-returns",)) as fleet,
        FakeTarget(respond_slowly) as target,
        ThreadPoolExecutor(100) as callers,
    ):
        fleet.configure(ratePerS=1000.0, burst=1000.0)
        fleet.list_target("t1", target, slots=2)
        fleet.start()
        calls = []
        for number in range(round(RATE * SECONDS)):
            calls.append(callers.submit(call_as_told, fleet, number))
            time.sleep(1 / RATE)
        statuses = [call.result() for call in calls]
        logs = [fleet.log(address) for address in fleet.addresses]
    assert {status for tried in statuses for status in tried} <= {200, 503}
    assert [503, 200] in statuses
    booked, returned = (
        [
            {
                entry["fingerprint"]
                for entry in map(orjson.loads, log.splitlines())
                if event in entry["event"] and entry["fingerprint"]
            }
            for log in logs
        ]
        for event in ("no free slot", "refused request has returned")
    )
    assert booked[0] & returned[1]
    assert booked[1] & returned[0]
