"""State that an entry carries between coordinators, and grants it accepts."""

from concurrent.futures import Future
from types import SimpleNamespace

import pytest

from almondglade import messages as m
from almondglade.coordinator.leases import LEASE_SECONDS
from almondglade.permits import PermitBroker

from .coordinating import POOL, FakeClock, demand


class FakeLinks:
    """Links that record the messages sent."""

    def __init__(self, clock):
        self.clock = clock
        self.up = set()
        self.sent = []

    def is_up(self, name):
        """Return whether a test has set a link up."""
        return name in self.up

    def last_ping_sent_at(self, name):
        """Return the present time, as if heartbeats were sent continuously."""
        return self.clock()

    def open(self, name):
        """Do nothing; the test sets the link up."""

    def send(self, name, message):
        """Record a message."""
        self.sent.append((name, message))

    def last(self, message_type):
        """Return the peer and the latest message of a type sent to it."""
        return next(s for s in reversed(self.sent) if isinstance(s[1], message_type))


@pytest.fixture
def entry():
    clock = FakeClock()
    links = FakeLinks(clock)
    ranked = ["A", "B"]
    membership = SimpleNamespace(coordinators=lambda pool: ranked)
    host = SimpleNamespace(attach=lambda name, send: None)
    loop = SimpleNamespace(call_soon_threadsafe=lambda call, *args: call(*args))
    broker = PermitBroker("e1", loop, membership, links, host, clock, LEASE_SECONDS)
    broker.join_all([POOL])
    clock.now += 10.0
    harness = SimpleNamespace(clock=clock, links=links, ranked=ranked, broker=broker)
    harness.link_up = lambda name: (links.up.add(name), broker.link_up(name))
    harness.link_up("A")
    return harness


def grant_to(entry, pending, term, running=1):
    state = m.TargetState("d1", "1", 4.0, running=running)
    now = entry.clock()
    entry.broker.receive(
        m.Grant(pending.request_id, POOL, 1, term, "d1", now, state),
    )


def submit_demand(entry):
    pending, future = demand(input_tokens=7), Future()
    entry.broker._submit(pending, future)
    return pending, future


def lose_link_to_a(entry):
    entry.links.up.discard("A")
    entry.ranked.reverse()
    entry.broker.link_down("A")


def test_a_late_grant_of_a_former_coordinator_is_ignored(entry):
    pending, future = submit_demand(entry)
    lose_link_to_a(entry)
    grant_to(entry, pending, "A/1")
    assert not future.done()
    entry.link_up("B")
    grant_to(entry, pending, "B/1")
    assert future.result().grant.term == "B/1"


def test_permits_demands_and_usage_are_carried_to_the_next_coordinator(entry):
    running, future = submit_demand(entry)
    grant_to(entry, running, "A/1", running=5)
    waiting, _ = submit_demand(entry)
    suspects = (m.CarriedSuspect(9, ("d1",), 1.0),)
    entry.broker.receive(m.PoolState(POOL, (), suspects))
    lose_link_to_a(entry)
    entry.clock.now += 0.3
    entry.link_up("B")
    name, join = entry.links.last(m.Join)
    assert name == "B"
    assert join.counted_after == pytest.approx(LEASE_SECONDS - 0.3)
    assert [p.demand.request_id for p in join.permits] == [running.request_id]
    assert join.targets[0].running == 5
    assert join.suspects == suspects
    assert join.spends[0].tokens == pytest.approx(7, rel=0.02)
    assert entry.links.last(m.Demand) == ("B", waiting)


def test_a_coordinator_that_was_never_reached_does_not_extend_counted_after(entry):
    lose_link_to_a(entry)
    entry.clock.now += 0.5
    entry.ranked[:] = ["C"]
    entry.broker.link_down("B")
    entry.clock.now += 0.5
    entry.link_up("C")
    assert entry.links.last(m.Join)[1].counted_after == 0.0


def test_a_new_process_counts_only_after_the_lease_of_the_previous_one(entry):
    broker = entry.broker
    broker.started_at = entry.clock()
    broker.by_pool[POOL].left_at = None
    broker.receive(m.Rejoin(POOL))
    assert entry.links.last(m.Join)[1].counted_after == pytest.approx(LEASE_SECONDS)
