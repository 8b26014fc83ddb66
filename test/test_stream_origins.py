"""Where a stream that has begun may go on, and how long its origin is known."""

import asyncio
import random
import threading
import time
from types import SimpleNamespace

import pytest

from almondglade.gateway.origins import OriginTracker
from almondglade.gossip.fleet import GossipProtocol, Peer
from almondglade.gossip.messages import OriginQuery, OriginReport
from almondglade.metrics import Metrics
from almondglade.outcome import Code, RequestError
from almondglade.placement.origins import (
    MAX_ORIGINS,
    RETENTION_SECONDS,
    OriginTable,
    StreamOrigin,
)
from almondglade.placement.places import PeerLoad

from .placing import SERVICE, make_pools, record, ticket

OLD, NEW = StreamOrigin(SERVICE, "v1"), StreamOrigin(SERVICE, "v2")


def release_targets(old=1, new=3, **changes):
    """Return the records of targets in the middle of a release."""
    return [
        *(record(f"old{number}", version="v1", **changes) for number in range(old)),
        *(record(f"new{number}", version="v2", **changes) for number in range(new)),
    ]


def test_a_stream_waits_for_a_slot_of_its_version_while_others_are_free():
    pools = make_pools(*release_targets(slots=1))
    first, second = ticket(version="v1"), ticket(version="v1")
    for entry in (first, second):
        pools.enqueue(entry, 0.0)
    assert [(entry, entry.target) for entry, _ in pools.match(0.0)] == [(first, "old0")]
    pools.release(first, 0.5, 0.5)
    assert [(entry, entry.target) for entry, _ in pools.match(0.5)] == [
        (second, "old0")
    ]


def test_a_waiting_stream_does_not_block_requests_behind_it():
    pools = make_pools(*release_targets(slots=1))
    stream = ticket(version="v1", arrived_at=0.0)
    others = [ticket(arrived_at=0.1 + number) for number in range(3)]
    pools.targets.state_by_target["old0"].record_start(0)
    for entry in (stream, *others):
        pools.enqueue(entry, 1.0)
    granted = [entry for entry, _ in pools.match(1.0)]
    assert granted == others


def test_a_coordinator_grants_a_peer_a_slot_of_the_version_of_its_stream():
    pools = make_pools(*release_targets(), others=["e0"])
    waiting = ticket(
        owner="e0", data_centre="north", number=7, coordinator="e1", version="v1"
    )
    pools.fleet.update("e0", PeerLoad(0.0, {}, (waiting,)))
    ((granted, number),) = pools.match(0.0)
    assert (granted, granted.target) == (waiting, "old0") and number


def test_a_grant_of_a_target_of_another_version_is_not_used():
    pools = make_pools(*release_targets(), others=["e0"])
    entry = ticket(version="v1")
    pools.enqueue(entry, 0.0)
    assert pools.apply_grant("e0", 1, entry.number, "new0") is None
    assert pools.apply_grant("e0", 2, entry.number, "old0") is entry


def test_a_stream_waits_in_a_data_centre_that_has_its_version():
    targets = [
        *(record(f"n{number}", "north", version="v2") for number in range(8)),
        *(record(f"s{number}", "south", version="v2") for number in range(7)),
        record("s7", "south", version="v1"),
    ]
    pools = make_pools(*targets)
    pools.is_full_mesh = False
    entry = ticket(version="v1")
    pools.enqueue(entry, 0.0)
    assert entry.cell_data_centre == "south"
    pools.reassign_waiting(5.0)
    assert entry.cell_data_centre == "south"


def test_the_first_origin_of_a_stream_stays_until_it_is_too_old():
    table = OriginTable()
    table.add("r1", OLD, 0.0)
    table.add("r1", NEW, 1.0)
    assert table.find("r1", 2.0) == (OLD, 2.0)
    assert table.find("r1", RETENTION_SECONDS + 1.0) is None
    table.expire(RETENTION_SECONDS + 1.0)
    assert not len(table)


def test_the_number_of_known_origins_is_limited():
    table = OriginTable()
    for number in range(MAX_ORIGINS + 1):
        table.add(f"r{number}", OLD, 0.0)
    assert len(table) == MAX_ORIGINS
    assert table.find("r0", 0.0) is None
    assert table.find(f"r{MAX_ORIGINS}", 0.0) == (OLD, 0.0)


class Peers:
    """Gossip that passes messages to the trackers of other gateways at once."""

    def __init__(self, *trackers, losses=0):
        self.trackers = trackers
        self.losses = losses
        self.sent = []

    def send_to_holders(self, key, message, counts):
        self.send_to_holders_soon(key, message, counts)

    def send_to_holders_soon(self, key, message, counts):
        self.sent.append(message)
        if len(self.sent) <= self.losses:
            return
        for tracker in self.trackers:
            if isinstance(message, OriginReport):
                tracker.handle_report(message)
            elif (report := tracker.answer(message)) is not None:
                self.asking.handle_report(report)


@pytest.fixture
def make_tracker():
    clock = SimpleNamespace(now=0.0)

    def make(name="e1", peers=(), **options):
        tracker = OriginTracker(name, Metrics(), lambda: clock.now)
        tracker.gossip = Peers(*peers, **options)
        tracker.gossip.asking = tracker
        return tracker

    return make


def test_a_peer_that_was_told_needs_not_ask(make_tracker):
    peer = make_tracker("e2")
    make_tracker("e1", [peer]).record("r1", OLD)
    assert peer.find("r2", "r1") == OLD
    assert not peer.gossip.sent


# A peer that had just started went on with what it was told, as it had not seen that a
# target started again unlisted.
def test_a_peer_is_not_told_of_an_origin_that_may_be_wrong(make_tracker):
    knowing = make_tracker("e1")
    knowing.record("r1", OLD)
    assert knowing.answer(OriginQuery("e2", "r1")).version == OLD.version
    knowing.is_doubtful = lambda origin, age: origin == OLD
    assert knowing.answer(OriginQuery("e2", "r1")) is None


def test_a_lost_query_is_repeated(make_tracker):
    peer = make_tracker("e2")
    peer.record("r1", OLD)
    tracker = make_tracker("e1", [peer], losses=1)
    assert tracker.find("r2", "r1") == OLD
    assert tracker.gossip.sent == [OriginQuery("e1", "r1")] * 2


@pytest.mark.parametrize("resumed_request", ["r1", None])
def test_a_stream_that_nobody_knows_is_refused_as_not_run(
    make_tracker, resumed_request
):
    tracker = make_tracker("e1", [make_tracker("e2")])
    with pytest.raises(RequestError) as error:
        tracker.find("r2", resumed_request)
    assert error.value.code is Code.NO_TARGET and error.value.retry_after


@pytest.fixture
def gossip_in_thread():
    """Gossip with one peer on the loop of another thread, and what it has sent."""
    settings = SimpleNamespace(
        instance="e1",
        address="10.0.0.1",
        data_centre="north",
        capacity=1.0,
        peer_port=1,
        seed_addresses=(),
    )
    sent = []
    transport = SimpleNamespace(sendto=lambda data, address: sent.append(address))

    async def make():
        gossip = GossipProtocol(settings, None, time.monotonic, random.Random(1))
        gossip.connection_made(transport)
        gossip.peer_by_address["10.0.0.2"] = Peer("10.0.0.2", time.monotonic(), "e2")
        return gossip

    with asyncio.Runner() as runner:
        loop = runner.get_loop()
        gossip = runner.run(make())
        thread = threading.Thread(target=loop.run_forever)
        thread.start()
        yield gossip, sent
        loop.call_soon_threadsafe(loop.stop)
        thread.join()


# A gateway on a busy host was killed after its caller had got the first event, and
# before its event loop had told a peer.
def test_peers_are_told_of_a_stream_before_its_caller_gets_the_first_event(
    gossip_in_thread,
):
    gossip, sent = gossip_in_thread
    tracker = OriginTracker("e1", Metrics(), time.monotonic)
    tracker.gossip = gossip
    gossip.run_soon(time.sleep, 0.05)
    tracker.record("r1", OLD)
    assert sent == [("10.0.0.2", 1)]
