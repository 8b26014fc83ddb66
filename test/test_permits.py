"""What an entry carries between coordinators, and whose grants it takes."""

from concurrent.futures import Future
from types import SimpleNamespace

import pytest

from almondglade import messages as m
from almondglade.coordinator.leases import LEASE_SECONDS
from almondglade.permits import PermitBroker

from .coordinating import POOL, FakeClock, demand


class FakeLinks:
    """Links that note what is sent."""

    def __init__(self, clock):
        self.clock = clock
        self.up = set()
        self.sent = []

    def is_up(self, name):
        """Tell whether a test has brought a link up."""
        return name in self.up

    def last_ping(self, name):
        """Return the present: heartbeats go out all the time."""
        return self.clock()

    def open(self, name):
        """Leave it to the test to bring the link up."""

    def send(self, name, message):
        """Note a message."""
        self.sent.append((name, message))

    def last(self, kind):
        """Return the latest message of a kind, and where it went."""
        return next(s for s in reversed(self.sent) if isinstance(s[1], kind))


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
    made = SimpleNamespace(clock=clock, links=links, ranked=ranked, broker=broker)
    made.link_up = lambda name: (links.up.add(name), broker.link_up(name))
    made.link_up("A")
    return made


def grant_to(entry, made, term, running=1):
    state = m.TargetState("d1", "1", 4.0, running=running)
    now = entry.clock()
    entry.broker.receive(
        m.Grant(made.request_id, POOL, 1, term, "d1", now, state),
    )


def ask(entry):
    made, future = demand(input_tokens=7), Future()
    entry.broker._submit(made, future)
    return made, future


def move(entry):
    entry.links.up.discard("A")
    entry.ranked.reverse()
    entry.broker.link_down("A")


def test_a_grant_of_a_coordinator_that_was_left_is_not_used(entry):
    made, future = ask(entry)
    move(entry)
    grant_to(entry, made, "A/1")
    assert not future.done()
    entry.link_up("B")
    grant_to(entry, made, "B/1")
    assert future.result().grant.term == "B/1"


def test_what_runs_waits_and_was_drawn_is_carried_to_the_next_coordinator(entry):
    running, future = ask(entry)
    grant_to(entry, running, "A/1", running=5)
    waiting, _ = ask(entry)
    suspects = (m.CarriedSuspect(9, ("d1",), 1.0),)
    entry.broker.receive(m.PoolState(POOL, (), suspects))
    move(entry)
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


def test_a_coordinator_that_was_never_reached_does_not_prolong_the_wait(entry):
    move(entry)
    entry.clock.now += 0.5
    entry.ranked[:] = ["C"]
    entry.broker.link_down("B")
    entry.clock.now += 0.5
    entry.link_up("C")
    assert entry.links.last(m.Join)[1].counted_after == 0.0


def test_a_new_process_counts_only_when_the_lease_of_a_former_one_has_ended(entry):
    young = entry.broker
    young.started_at = entry.clock()
    young.by_pool[POOL].left_at = None
    young.receive(m.Rejoin(POOL))
    assert entry.links.last(m.Join)[1].counted_after == pytest.approx(LEASE_SECONDS)
