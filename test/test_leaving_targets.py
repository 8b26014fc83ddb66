"""Targets that say that they leave, or that they want no requests for a while."""

import threading
import time

import pytest

from almondglade.dispatch.heads import MalformedHeadError, ResponseHead, parse_head
from almondglade.placement.eligibility import MAX_BACKOFF_SECONDS, Obstacle
from almondglade.platform.front import parse_target_response

from .gatewayfleet import SEAL, make_response
from .placing import make_pools, record
from .storefleet import DRAIN_SECONDS, StoreFleet
from .support.targets import FakeTarget

CALLERS = 8
# Fewer than callers, so that every target is needed.
SLOTS = 2
LEAVING = SEAL + "Server-Leaving: 1\r\n"
# Requests that are on their way when a target refuses one.
IN_FLIGHT_SECONDS = 0.5


class TimedTarget(FakeTarget):
    """A target that records when requests reached it.

    Attributes
    ----------
    headers, status : str
        Of its responses.
    """

    def __init__(self):
        super().__init__(self.respond)
        self.headers, self.status = SEAL, "200 OK"
        self.arrivals = []

    def respond(self, request):
        self.arrivals.append(time.monotonic())
        return make_response(b"done", self.status, self.headers, request)

    def arrivals_since(self, since):
        return [at - since for at in self.arrivals if at > since]


@pytest.fixture
def fleet_and_targets(tmp_path):
    with (
        StoreFleet(tmp_path, count=2) as fleet,
        TimedTarget() as first,
        TimedTarget() as second,
        TimedTarget() as third,
    ):
        targets = [first, second, third]
        for number, target in enumerate(targets):
            fleet.list_target(f"t{number}", target, slots=SLOTS)
        # Long enough to wait for the others before their pace is known.
        fleet.configure_routes(1, targetLatencyMs=1000)
        fleet.start()
        yield fleet, targets


def send_for(fleet, seconds, callers=CALLERS):
    """Send requests from several callers at all gateways; return the statuses."""
    end = time.monotonic() + seconds
    statuses = []

    def call(address):
        while time.monotonic() < end:
            statuses.append(fleet.call("/look/1", address).status)

    threads = [
        threading.Thread(target=call, args=(fleet.addresses[n % fleet.count],))
        for n in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def test_a_target_that_says_that_it_leaves_gets_no_request(fleet_and_targets):
    # The header was read nowhere; over 400 of 600 requests arrived later.
    fleet, targets = fleet_and_targets
    leaving = targets[0]
    leaving.headers = LEAVING
    statuses = send_for(fleet, 1.0)
    assert leaving.arrivals
    said_at = time.monotonic()
    statuses += send_for(fleet, DRAIN_SECONDS)
    # Neither another entry, nor its removal and return, makes the same start stay.
    fleet.list_target("t0", leaving)
    fleet.remove("servers/t0")
    time.sleep(0.2)
    fleet.list_target("t0", leaving)
    statuses += send_for(fleet, 1.0)
    assert not leaving.arrivals_since(said_at)
    assert set(statuses) == {200}
    leaving.headers = SEAL
    fleet.list_target("t0", leaving, slots=SLOTS, born=2)
    send_for(fleet, 1.0)
    assert leaving.arrivals_since(said_at)


def test_callers_are_refused_when_all_targets_say_that_they_leave(fleet_and_targets):
    fleet, targets = fleet_and_targets
    for target in targets:
        target.headers = LEAVING
    send_for(fleet, 1.0)
    said_at = time.monotonic()
    response = fleet.call("/look/1")
    assert (response.status, "Retry-After" in response.headers) == (503, True)
    assert not [at for target in targets for at in target.arrivals_since(said_at)]


def test_a_target_that_names_a_time_gets_nothing_before(fleet_and_targets):
    # Up to five requests of a gateway arrived in it, where two are allowed.
    fleet, targets = fleet_and_targets
    full = targets[0]
    full.status = "503 Service Unavailable"
    full.headers = "X-Not-Executed: 1\r\nRetry-After: 2\r\n"
    statuses = send_for(fleet, 1.5)
    refused_at = full.arrivals[0]
    early = [at for at in full.arrivals_since(refused_at) if IN_FLIGHT_SECONDS < at < 2]
    assert early == []
    assert set(statuses) == {200}
    full.status, full.headers = "200 OK", SEAL
    time.sleep(1.0)
    before = len(full.arrivals)
    send_for(fleet, 1.5)
    assert len(full.arrivals) > before


def test_callers_learn_when_targets_that_want_no_requests_take_them_again(
    fleet_and_targets,
):
    fleet, targets = fleet_and_targets
    for target in targets:
        target.status = "503 Service Unavailable"
        target.headers = "X-Not-Executed: 1\r\nRetry-After: 3.5\r\n"
    send_for(fleet, 0.5)
    arrivals = sum(len(target.arrivals) for target in targets)
    refused_at = time.monotonic()
    response = fleet.call("/look/1")
    assert response.status == 503
    assert time.monotonic() - refused_at < 0.2
    assert 1.5 <= float(response.headers["Retry-After"]) <= 3.5
    assert sum(len(target.arrivals) for target in targets) == arrivals


@pytest.mark.parametrize(
    "text", ["", "0", "-1", "nan", "inf", "1e1", "Wed, 21 Oct 2015 07:28:00 GMT", "61"]
)
def test_an_unusable_time_keeps_no_requests_away(text):
    head = ResponseHead(503, (("Retry-After", text),))
    pools = make_pools(record("t1"))
    backoff = parse_target_response(head).backoff
    assert not pools.targets.record_backoff(("t1", 0), backoff, 0.0)
    state = pools.targets.state_by_target["t1"]
    assert pools.targets.obstacle(state, 0.0) is None


def test_the_longest_time_counts_and_ends():
    pools = make_pools(record("t1"))
    targets = pools.targets
    state = targets.state_by_target["t1"]
    assert targets.record_backoff(("t1", 0), MAX_BACKOFF_SECONDS, 0.0)
    assert not targets.record_backoff(("t1", 0), 0.5, 0.0)
    assert targets.obstacle(state, MAX_BACKOFF_SECONDS - 0.1) is Obstacle.BACKING_OFF
    # A target that wants no requests is not out of reach, so that peers are not asked.
    assert not targets.is_cut_off(state.record.service, "", 1.0)
    assert targets.obstacle(state, MAX_BACKOFF_SECONDS) is None


def test_what_another_target_says_at_the_address_does_not_count():
    head = ResponseHead(421, (("Server-Leaving", "1"),))
    assert not parse_target_response(head).is_leaving
    assert parse_target_response(ResponseHead(503, head.headers)).is_leaving


def test_the_head_of_a_probe_tells_that_a_target_leaves():
    head = b"HTTP/1.1 503 Service Unavailable\r\nserver-leaving:  1\r\nX-A: b\r\n\r\n"
    assert parse_target_response(parse_head(head)).is_leaving
    other = parse_head(head.replace(b"  1", b" 0"))
    assert not parse_target_response(other).is_leaving
    with pytest.raises(MalformedHeadError):
        parse_head(b"")
