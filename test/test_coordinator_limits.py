"""A target's limit is kept by several coordinators despite failures and delays.

A simulation runs coordinators, entries and one target on a fake clock. The target
counts the requests in progress; after no step may they exceed its limit.
"""

import itertools
import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from almondglade import messages as m
from almondglade.coordinator.foreign import MIN_HANDOVER_LIMIT
from almondglade.coordinator.leases import LEASE_SECONDS
from almondglade.permits import PERMIT_VALIDITY_SECONDS

from .coordinating import FakeClock, declare, demand, make_coordinator, sent

STEP_SECONDS = 0.125
MAX_REPORT_LAG_SECONDS = 0.5
STEPS = 240
RUN_SECONDS = (0.25, 0.5, 1.0, 3.0, 10.0)
ENTRIES = 9


@dataclass
class SimLink:
    """One direction of a link: ordered messages that arrive after a delay."""

    delay: float
    queue: list = field(default_factory=list)

    def put(self, now, message):
        due = now + self.delay
        self.queue.append((max([due, *(at for at, _ in self.queue[-1:])]), message))

    def take(self, now):
        ready = [message for at, message in self.queue if at <= now]
        self.queue = [(at, message) for at, message in self.queue if at > now]
        return ready


@dataclass
class SimEntry:
    """An entry's side of the protocol, with its requests at the target."""

    name: str
    coordinator: str = ""
    last_counted_at: float = -10.0
    last_ping: float = 0.0
    last_heard: float = 0.0
    dead: bool = False
    held_by_request: dict = field(default_factory=dict)
    state_by_target: dict = field(default_factory=dict)
    up: SimLink = field(default_factory=lambda: SimLink(0))
    down: SimLink = field(default_factory=lambda: SimLink(0))


class Simulation:
    """Coordinators, entries and a target with random faults from a seed."""

    def __init__(self, seed, limit, coordinators=2):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.limit = limit
        self.running = {}
        self.load_samples = []
        self.frozen_until_by_name = {}
        self.epoch = 1
        declared = declare(max_concurrent=limit)
        self.coordinators = {
            name: make_coordinator(self.clock, declared, name, published=ENTRIES)
            for name in "ABC"[:coordinators]
        }
        self.numbers = itertools.count()
        self.entries = [self.new_entry("A") for _ in range(ENTRIES)]
        self.granted = 0

    def new_entry(self, coordinator):
        entry = SimEntry(f"e{next(self.numbers)}", last_counted_at=self.clock())
        self.join(entry, coordinator)
        return entry

    def join(self, entry, name):
        now = self.clock()
        entry.coordinator, entry.last_heard = name, 0.0
        entry.up = SimLink(self.rng.choice([0.0, 0.0, 0.25, 1.0]))
        entry.down = SimLink(self.rng.choice([0.0, 0.0, 0.25, 1.0]))
        permits = tuple(
            m.CarriedPermit(d, "d1", now - since)
            for d, since in entry.held_by_request.values()
        )
        entry.up.put(
            now,
            m.Join(
                "drafts",
                max(0.0, entry.last_counted_at + LEASE_SECONDS - now),
                permits,
                tuple(entry.state_by_target.values()),
            ),
        )

    def move(self, entry, name):
        """Join another coordinator; messages on the old link may still arrive."""
        entry.up.put(self.clock(), m.Leave("drafts"))
        self.old_links.append((entry.coordinator, entry.name, entry.up))
        entry.last_counted_at = entry.last_ping
        self.join(entry, name)

    def run(self, steps=STEPS):
        self.old_links = []
        for step in range(steps):
            self.clock.now += STEP_SECONDS
            self.inject_faults()
            self.deliver_from_old_links()
            for entry in self.entries:
                self.exchange_messages(entry, step)
            self.run_target()
            self.run_coordinators(step)
            assert len(self.running) <= self.limit, f"at step {step}"

    def deliver_from_old_links(self):
        """Deliver the messages that entries sent on links they no longer use."""
        now = self.clock()
        for name, entry, up in self.old_links:
            if name not in self.frozen_until_by_name:
                for message in up.take(now):
                    self.deliver(self.coordinators[name], entry, SimLink(0), message)
        self.old_links = [link for link in self.old_links if link[2].queue]

    def inject_faults(self):
        """Sometimes freeze a coordinator, move entries or kill an entry."""
        rng, now = self.rng, self.clock()
        self.frozen_until_by_name = {
            name: at for name, at in self.frozen_until_by_name.items() if at > now
        }
        if rng.random() < 0.015:
            self.frozen_until_by_name[rng.choice(list(self.coordinators))] = (
                now + rng.uniform(0, 3)
            )
        if rng.random() < 0.03:
            target = rng.choice(list(self.coordinators))
            for entry in rng.sample(self.entries, rng.randint(1, ENTRIES)):
                self.move(entry, target)
        if rng.random() < 0.015:
            self.replace_entry(rng.randrange(ENTRIES))

    def replace_entry(self, index):
        """Kill an entry and start another; its requests go on at the target."""
        entry = self.entries[index]
        entry.dead = True
        self.coordinators[entry.coordinator].leave(entry.name)
        self.entries[index] = self.new_entry(entry.coordinator)

    def exchange_messages(self, entry, step):
        now = self.clock()
        coordinator = self.coordinators[entry.coordinator]
        if step % 2 == 0:
            entry.last_ping = now
            entry.up.put(now, m.Ping(now, entry.last_heard, 0))
        if self.rng.random() < 0.2 and len(entry.held_by_request) < 4:
            entry.up.put(now, demand(max_wait=2.0))
        for message in entry.down.take(now):
            self.receive(entry, message)
        if entry.coordinator not in self.frozen_until_by_name:
            for message in entry.up.take(now):
                self.deliver(coordinator, entry.name, entry.down, message)

    def deliver(self, coordinator, name, down, message):
        now = self.clock()
        match message:
            case m.Join():
                coordinator.join(name, message)
            case m.Leave():
                coordinator.leave(name)
            case m.Ping():
                coordinator.renew(name, message.echo, message.sent_at)
                down.put(now, m.Ping(now, message.sent_at, 0))
                down.put(now, coordinator.state)
            case m.Demand() if coordinator.is_joined(name):
                coordinator.submit(name, message)
            case m.Completion():
                coordinator.finish(name, message)

    def receive(self, entry, message):
        now = self.clock()
        match message:
            case m.Ping():
                entry.last_heard = message.sent_at
            case m.PoolState():
                entry.state_by_target |= {
                    state.target: state for state in message.targets
                }
            case m.Grant() if message.term == entry.coordinator:
                entry.state_by_target["d1"] = message.state
                if now - message.heard_at <= PERMIT_VALIDITY_SECONDS:
                    self.dispatch(entry, message)

    def dispatch(self, entry, grant):
        now = self.clock()
        self.granted += 1
        request = demand(request_id=grant.request_id)
        entry.held_by_request[grant.request_id] = (request, now)
        ends = now + self.rng.choice(RUN_SECONDS)
        self.running[grant.request_id] = (ends, entry)

    def run_target(self):
        now = self.clock()
        ended = [r for r, (ends, _) in self.running.items() if ends <= now]
        for request_id in ended:
            _, entry = self.running.pop(request_id)
            if not entry.dead:
                del entry.held_by_request[request_id]
                done = m.Completion(request_id, "drafts", m.Result.COMPLETED)
                entry.up.put(now, done)
        if self.rng.random() < 0.003:
            self.restart()
        self.load_samples.append((now, len(self.running), str(self.epoch)))

    def restart(self):
        """Restart the target; its entries see their connections break immediately."""
        self.epoch += 1
        for request_id, (_, entry) in self.running.items():
            if entry.held_by_request.pop(request_id, None) and not entry.dead:
                broken = m.Completion(request_id, "drafts", m.Result.BROKEN)
                entry.up.put(self.clock(), broken)
        self.running = {}

    def run_coordinators(self, step):
        now = self.clock()
        for name, coordinator in self.coordinators.items():
            if name in self.frozen_until_by_name:
                continue
            if step % 4 == 0 and self.rng.random() < 0.9:
                lag = self.rng.uniform(0, MAX_REPORT_LAG_SECONDS)
                _, running, epoch = next(
                    s
                    for s in reversed(self.load_samples)
                    if s[0] <= now - lag or s is self.load_samples[0]
                )
                coordinator.observe(
                    m.LoadReport("d1", epoch, running, 0, MAX_REPORT_LAG_SECONDS)
                )
            for addressed in coordinator.decide():
                self.send(name, addressed)

    def send(self, name, addressed):
        for entry in self.entries:
            if entry.name == addressed.entry and entry.coordinator == name:
                entry.down.put(self.clock(), addressed.message)


SEEDS = st.integers(0, 10**6)


@settings(max_examples=150)
@given(SEEDS, st.integers(1, MIN_HANDOVER_LIMIT - 1), st.integers(2, 3))
def test_a_cold_target_never_has_more_in_progress_than_its_limit(seed, limit, number):
    simulation = Simulation(seed, limit, number)
    simulation.run()


@settings(max_examples=60)
@given(SEEDS, st.integers(MIN_HANDOVER_LIMIT, 12), st.integers(2, 3))
def test_a_warm_target_never_has_more_in_progress_than_its_limit(seed, limit, number):
    Simulation(seed, limit, number).run()


def join_all(coordinator, names, **join):
    for name in names:
        coordinator.join(name, m.Join("drafts", **join))
        coordinator.renew(name, coordinator.clock(), coordinator.clock())


def renew_all(coordinator, names):
    for name in names:
        coordinator.renew(name, coordinator.clock(), coordinator.clock())


def grants(coordinator, entry, number):
    for _ in range(number):
        coordinator.submit(entry, demand())
    return sent(coordinator, m.Grant)


def test_permits_of_entries_that_stay_at_another_coordinator_are_counted():
    clock = FakeClock()
    first = make_coordinator(clock, declare(max_concurrent=10), published=10)
    second = make_coordinator(clock, declare(max_concurrent=10), "B", published=10)
    everyone = [f"e{n}" for n in range(10)]
    join_all(first, everyone)
    first.observe(m.LoadReport("d1", "1", 0, 0))
    assert len(grants(first, "e9", 12)) == 10
    movers = everyone[:4]
    for name in movers:
        first.leave(name)
    join_all(second, movers, counted_after=LEASE_SECONDS)
    clock.now += LEASE_SECONDS
    renew_all(second, movers)
    second.observe(m.LoadReport("d1", "1", 10, 0))
    assert grants(second, "e0", 4) == []
    clock.now += 0.1
    second.observe(m.LoadReport("d1", "1", 2, 0))
    assert len(sent(second, m.Grant)) == 2


def test_a_warm_target_is_granted_permits_from_a_handover_before_any_report():
    clock = FakeClock()
    successor = make_coordinator(clock, declare(max_concurrent=8), "B", published=9)
    running = m.CarriedPermit(demand(), "d1", 1.0)
    handover = (m.TargetState("d1", "1", 8.0, running=5),)
    successor.join("e0", m.Join("drafts", permits=(running,), targets=handover))
    join_all(successor, [f"e{n}" for n in range(1, 8)])
    renew_all(successor, ["e0"])
    # Eight of nine entries may use all 8 permits. One is carried here, and four more
    # were in progress according to the handover.
    assert len(grants(successor, "e1", 8)) == 3


def test_a_lost_permit_counts_until_a_later_report_shows_it_gone():
    clock = FakeClock()
    coordinator = make_coordinator(clock, declare(max_concurrent=1))
    join_all(coordinator, ["e1"])
    coordinator.observe(m.LoadReport("d1", "1", 0, 0))
    assert len(grants(coordinator, "e1", 1)) == 1
    coordinator.leave("e1")
    join_all(coordinator, ["e2"])
    for running, granted in [(1, 0), (1, 0), (0, 0), (0, 1)]:
        clock.now += 3.0
        renew_all(coordinator, ["e2"])
        coordinator.observe(m.LoadReport("d1", "1", running, 0))
        assert len(grants(coordinator, "e2", 1)) == granted


def test_an_entry_counts_after_its_first_heartbeat_and_the_end_of_its_former_lease():
    clock = FakeClock()
    coordinator = make_coordinator(clock, declare())

    def granted():
        renewed = clock.now if acknowledged else -10.0
        coordinator.renew("e1", renewed, clock.now)
        coordinator.observe(m.LoadReport("d1", "1", 0, 0))
        return len(grants(coordinator, "e1", 1))

    coordinator.join("e1", m.Join("drafts", LEASE_SECONDS))
    acknowledged = False
    clock.now += 2 * LEASE_SECONDS
    assert granted() == 0, "the Join may have been delayed"
    acknowledged = True
    assert granted() > 0
    coordinator.join("e1", m.Join("drafts", LEASE_SECONDS))
    clock.now += LEASE_SECONDS / 2
    assert granted() == 0, "its former coordinator may still grant to it"
    clock.now += LEASE_SECONDS
    assert granted() > 0
