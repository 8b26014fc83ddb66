"""When refused callers are told to return, and what instances tell each other of it."""

import itertools
import time
from types import SimpleNamespace

import msgpack
import pytest

from almondglade.catalogue import WorkspaceTerms
from almondglade.gateway.refusals import Refusals
from almondglade.gateway.returning import BookedReturns
from almondglade.gossip.codec import decode, encode
from almondglade.gossip.messages import BookedReturn, Grants, Report, WaitingRequest
from almondglade.metrics import Metrics
from almondglade.placement.coordination import InstanceInfo
from almondglade.placement.places import Ticket

from .placing import SERVICE, make_pools, record
from .test_cells import make_exchange

WITH_ALLOWANCE = WorkspaceTerms("w", rate=100.0, burst=100.0)


def request(workspace, time_limit=10.0, fingerprint=7, **changes):
    """Return a refused request, as far as refusals and bookings read it."""
    values = {
        "request_id": "r",
        "service": SERVICE,
        "tier": (0, 0),
        "route": SimpleNamespace(tier=0, latency_objective=0.5),
        "workspace": workspace,
        "caller_headers": SimpleNamespace(time_limit=time_limit),
        "attempted_targets": [],
        "version": "",
        "may_have_run": False,
        "fingerprint": fingerprint,
        "arrived_at": 0.0,
        "deadline": time_limit,
    }
    return SimpleNamespace(**(values | changes))


def make_returns(is_allowed=True, now=0.0):
    pools = make_pools(record("t1"))
    for step in range(100):
        pools.returns.rates.record(Ticket(SERVICE, (0, 0), 0.0), step / 10.0 - 10.0)
    return BookedReturns(pools, is_allowed, Metrics(), lambda: now)


def retry_after(returns, refused, wait):
    ticket = Ticket(SERVICE, refused.tier, 0.0, deadline=refused.deadline)
    returns.recognise(ticket, refused)
    time = returns.book(ticket, refused, wait)
    error = Refusals(Metrics(), returns.clock).overload_error(
        refused, wait, "too much work waits", time
    )
    return error.retry_after


@pytest.mark.parametrize(
    ("workspace", "is_allowed"),
    [(None, True), (WorkspaceTerms("w"), True), (WITH_ALLOWANCE, False)],
)
def test_without_allowances_or_the_feature_retry_after_is_the_plain_one(
    workspace, is_allowed
):
    returns = make_returns(is_allowed)
    for wait, expected in ((0.0, 1.0), (1.7, 1.7), (30.0, 4.0), (float("inf"), 4.0)):
        assert retry_after(returns, request(workspace), wait) == expected
    assert returns.pools.returns.count_open() == 0


def test_callers_get_times_of_their_own_or_the_truth():
    returns = make_returns()
    times = [
        retry_after(returns, request(WITH_ALLOWANCE, fingerprint=number), 0.3)
        for number in range(1, 6)
    ]
    assert times[0] == pytest.approx(0.3)
    assert all(b > a + 0.1 for a, b in itertools.pairwise(times))
    # No room that the caller can use: the expected time, at most what it has left.
    assert retry_after(returns, request(WITH_ALLOWANCE, 4.0), 2.5) == pytest.approx(2.5)
    assert retry_after(returns, request(WITH_ALLOWANCE, 4.0), 60.0) == 4.0
    assert retry_after(returns, request(WITH_ALLOWANCE), float("inf")) == 4.0


def test_a_coordinator_is_asked_only_about_what_may_be_a_return():
    returns = make_returns()
    returns.pools.coordinators.instances = ["e0"]

    def must_ask(time_limit):
        ticket = Ticket(SERVICE, (0, 0), 0.0)
        returns.recognise(ticket, request(WITH_ALLOWANCE, time_limit))
        return returns.must_ask(ticket)

    assert not must_ask(10.0)
    assert must_ask(6.7)
    assert not must_ask(10.0)
    # The coordinators themselves hear of all bookings.
    returns.pools.coordinators.instances = [returns.pools.instance]
    assert not must_ask(6.7)


def test_reports_and_grants_carry_bookings_beside_what_earlier_releases_read():
    waiting = (
        WaitingRequest(1, SERVICE, (0, 2), 0.0, return_fingerprint=0xFFFFFFFF),
        WaitingRequest(2, SERVICE, (0, 2), 0.0),
    )
    booked = tuple(
        BookedReturn(number, SERVICE, (0, 2), number, 1.25) for number in range(24)
    )
    report = Report("e1", "north", 1, 1, waiting=waiting, booked_returns=booked)
    assert decode(encode(report)) == report
    assert len(encode(report)) < 1200
    # An empty report has no further fields.
    plain = Report("e1", "north", 1, 1, latest_grant_by_coordinator={"e2": 3})
    assert msgpack.unpackb(encode(plain))[9] == {"e2": 3}
    assert decode(encode(Grants("e1", returns=(4, 5)))).returns == (4, 5)
    # Peers without returns get the reply of earlier releases.
    assert len(msgpack.unpackb(encode(Grants("e1")))) == 5


def test_a_coordinator_of_a_large_fleet_recognises_a_return_at_another_instance():
    info_by_instance = {f"e{number}": InstanceInfo("north") for number in range(2, 40)}
    info_by_instance["e1"] = InstanceInfo("north", 2.0)
    exchange_by_name, messages = {}, []
    for name in ("e1", "e2", "e3"):
        exchange, _ = make_exchange(name, "north", info_by_instance)
        exchange.gossip = SimpleNamespace(
            call_later=lambda seconds, callback: callback(),
            send_to_all_soon=lambda message: None,
            send_soon=lambda names, message: messages.append((names, message)),
            acknowledge_grants_soon=lambda: None,
        )
        exchange_by_name[name] = exchange
    coordinator, refusing, receiving = exchange_by_name.values()
    now = time.monotonic()
    entry = Ticket(SERVICE, (0, 0), now, deadline=now + 9.0, return_fingerprint=7)
    for pools in (refusing.pools, receiving.pools):
        pools.set_targets([record("t1")])
    refusing.pools.returns.rates.record(entry, now)
    seconds = refusing.pools.returns.book(entry, 0.0, now).seconds
    # It reports to the coordinator though nothing of its own waits or runs.
    assert refusing.report_receivers()[0] == {"e1"}
    coordinator.handle_report(decode(encode(refusing.make_report(1))))
    time.sleep(seconds)
    returned, other = (
        Ticket(
            SERVICE,
            (0, 0),
            time.monotonic(),
            return_fingerprint=fingerprint,
            may_be_return=True,
        )
        for fingerprint in (7, 8)
    )
    for ticket in (returned, other):
        receiving.pools.enqueue(ticket, time.monotonic())
    coordinator.handle_report(decode(encode(receiving.make_report(1))))
    ((names, grants),) = messages
    assert names == {"e3"}
    receiving.handle_grants(decode(encode(grants)))
    assert returned.is_return
    assert not other.is_return
