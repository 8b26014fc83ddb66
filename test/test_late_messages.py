"""Messages that lay unread while their receiver stood still are as old as they are."""

import asyncio
import random
import threading
from dataclasses import replace
from types import SimpleNamespace

import pytest

from almondglade.gateway.suspects import SuspectTracker
from almondglade.gossip import members as members_module
from almondglade.gossip.codec import encode
from almondglade.gossip.fleet import GossipProtocol
from almondglade.gossip.messages import (
    CrashEvidence,
    Grant,
    Grants,
    Member,
    MemberList,
    Report,
    SuspectEvidence,
    SuspectReport,
    WaitingRequest,
)
from almondglade.gossip.receipts import MAX_BACKLOG_SECONDS, ReceiptTimes
from almondglade.metrics import Metrics
from almondglade.placement.coordination import InstanceInfo
from almondglade.placement.fleetload import GRANT_EXPIRY_SECONDS
from almondglade.placement.suspects import Suspicion

from .placing import SERVICE, record, ticket
from .test_cells import make_exchange
from .test_fleet import FakeExchange

PEERS = ("10.0.0.2", "10.0.0.3")
REQUEST = 7


class Receiver:
    """One instance, whose socket is read when a test says so.

    Attributes
    ----------
    time : float
        Present time of both clocks.
    """

    def __init__(self, monkeypatch):
        self.time = 100.0
        self.sequence_number = 0
        monkeypatch.setattr(members_module, "boottime_clock", self.clock)
        settings = SimpleNamespace(
            instance="e1",
            address="10.0.0.1",
            data_centre="north",
            capacity=1.0,
            peer_port=1,
            seed_addresses=(),
        )
        exchange = FakeExchange("e1", "north")
        self.suspects = exchange.suspects = SuspectTracker(
            "e1", threading.Lock(), Metrics(), self.clock
        )
        # The clocks of the peers are known.
        exchange.handle_report = lambda report: self.time - report.sent_at
        self.gossip = GossipProtocol(settings, exchange, self.clock, random.Random(1))
        self.suspects.gossip = self.gossip
        for number, address in enumerate(PEERS, 2):
            self.read(Report(f"e{number}", "north", 1, 0, sent_at=self.time), address)

    def clock(self):
        return self.time

    def read(self, message, address=PEERS[0]):
        self.gossip.datagram_received(encode(message), (address, 1))

    def read_report(self, sent_at):
        self.sequence_number += 1
        report = Report("e2", "north", 1, self.sequence_number, sent_at=sent_at)
        self.read(report)

    def suspicion(self):
        return self.suspects.table.suspicion(REQUEST, self.time)


@pytest.fixture
def receiver(monkeypatch):
    async def make():
        return Receiver(monkeypatch)

    with asyncio.Runner() as runner:
        yield runner.run(make())


def completed():
    """Return the report that a run of the request has just completed."""
    return SuspectReport("e2", (SuspectEvidence(REQUEST, (), 0.0),))


def crashed(number):
    """Return the report that a target has just ended while it ran the request."""
    crash = CrashEvidence(f"t{number}", 1, 0.5, 0.02)
    return SuspectReport("e3", (SuspectEvidence(REQUEST, (crash,)),))


# All was dated by its reading, so that the run seemed to have completed after targets
# had crashed by the request. The gateway forgot the crashes, and told its peers to.
@pytest.mark.parametrize("is_report_first", [False, True])
def test_a_request_is_not_cleared_by_a_run_before_its_crashes(
    receiver, is_report_first
):
    receiver.time = 107.0
    if is_report_first:
        receiver.read_report(100.9)
    receiver.read(completed())
    for number in range(3):
        receiver.read_report(103.0 + number)
        receiver.read(crashed(number), PEERS[1])
    assert receiver.suspicion() is not Suspicion.NONE
    (suspect,) = receiver.suspects.table.by_fingerprint.values()
    assert [round(crash.ended_at, 1) for crash in suspect.crashes] == [103, 104, 105]


def test_what_is_read_without_a_pause_is_dated_by_its_reading(receiver):
    for number in range(3):
        receiver.time += 0.6
        receiver.read(crashed(number), PEERS[1])
    (suspect,) = receiver.suspects.table.by_fingerprint.values()
    assert suspect.crashes[-1].ended_at == pytest.approx(receiver.time - 0.02)
    receiver.read(completed())
    assert receiver.suspicion() is Suspicion.NONE


def test_a_peer_that_ended_during_a_pause_is_not_taken_for_a_live_one(receiver):
    receiver.time = 107.0
    members = (Member(PEERS[0], "e2", "north", 1.0), Member("10.0.0.9", "e9", "n", 1.0))
    receiver.read(MemberList("e2", members))
    receiver.read_report(107.0)
    assert [peer.instance for peer in receiver.gossip.live_peers()] == ["e2"]


def test_the_pause_ends_with_a_report_that_was_not_delayed():
    receipts = ReceiptTimes()
    receipts.record_running(10.0, 10.0)
    receipts.record_running(17.0, 17.0)
    assert receipts.sent_at(17.0) == 10.0
    receipts.record_delay(4.0)
    assert receipts.sent_at(17.0) == 13.0
    receipts.record_delay(None)
    assert receipts.sent_at(17.0) == 13.0
    receipts.record_delay(0.01)
    assert receipts.sent_at(17.1) == 17.1
    # A later one that is slow on its way is no sign of a pause.
    receipts.record_delay(2.0)
    assert receipts.sent_at(17.1) == 17.1


def test_the_pause_ends_without_reports():
    receipts = ReceiptTimes()
    receipts.record_running(10.0, 10.0)
    receipts.record_running(17.0, 17.0)
    assert receipts.sent_at(17.0) == 10.0
    end = 17.0 + MAX_BACKLOG_SECONDS
    receipts.record_running(end - 0.1, end - 0.1)
    assert receipts.sent_at(end - 0.1) < 10.0 + MAX_BACKLOG_SECONDS
    receipts.record_running(end + 0.1, end + 0.1)
    assert receipts.sent_at(end + 0.1) == end + 0.1


# A peer that starts after the others were killed does not lack the grants of this one.
def test_a_silence_of_all_peers_is_no_pause(receiver):
    for _ in range(20):
        receiver.time += 0.25
        receiver.gossip._record_running()
    receiver.read(crashed(1), PEERS[1])
    (suspect,) = receiver.suspects.table.by_fingerprint.values()
    assert suspect.crashes[-1].ended_at == pytest.approx(receiver.time - 0.02)


def test_what_was_sent_during_a_suspension_is_not_older_than_its_begin():
    receipts = ReceiptTimes()
    receipts.record_running(10.0, 50.0)
    # The host was suspended for 7 s, which the monotonic clock does not count.
    receipts.record_running(10.2, 57.2)
    assert receipts.sent_at(10.2) == 10.0
    receipts.record_delay(3.0)
    assert receipts.sent_at(10.2) == 10.0


# A coordinator sent them to the next start, whose requests had the same numbers, and
# counted their slots as taken.
def test_grants_to_a_peer_that_has_started_again_are_not_sent_again():
    exchange, _ = make_exchange("e1", "north", {"e2": InstanceInfo("north")})
    sent = []
    exchange.gossip = SimpleNamespace(
        call_later=lambda seconds, callback: callback(),
        send_soon=lambda peers, message: sent.append(message),
    )
    exchange.pools.is_full_mesh = True
    exchange.pools.set_targets([record("t1", "north", 1), record("t2", "north", 1)])
    granted = ticket(owner="e2", number=7, target="t1")
    exchange.pools.fleet.add_grant(granted, 1, exchange.clock())
    waiting = (WaitingRequest(7, SERVICE, (0, 0), 0.0, coordinator="e1"),)
    report = Report("e2", "north", 1000, 1, waiting=waiting)
    exchange.handle_report(report)
    assert [grant.request for grant in sent.pop().grants] == [7]
    exchange.handle_report(replace(report, incarnation=2000))
    assert not sent.pop().grants
    assert not exchange.pools.fleet.running_by_target


# Each grant that lay unread put a request more on its target than it has slots.
def test_a_grant_is_not_used_once_its_coordinator_may_have_given_the_slot_away():
    info_by_instance = {name: InstanceInfo("north") for name in ("e1", "e2")}
    exchange, _ = make_exchange("e1", "north", info_by_instance)
    exchange.gossip = SimpleNamespace(acknowledge_grants_soon=lambda: None)
    exchange.pools.set_targets([record("t1", "north")])
    waiting = ticket(coordinator="e2")
    exchange.pools.tickets_by_service.setdefault("s", []).append(waiting)
    now = exchange.clock()
    grants = Grants("e2", (Grant(1, waiting.number, "t1"),))
    exchange.handle_grants(grants, now - 2 * GRANT_EXPIRY_SECONDS)
    assert waiting.target is None
    exchange.handle_grants(grants, now)
    assert waiting.target == "t1"
