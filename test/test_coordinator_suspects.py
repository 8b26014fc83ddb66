"""Requests that crash their targets, and what runs beside them."""

import random

from hypothesis import given
from hypothesis import strategies as st

from almondglade import messages as m
from almondglade.coordinator.suspects import (
    BAR_SECONDS,
    BARRED_AFTER_TARGETS,
    MAX_CARRIED,
    SuspectTable,
    Suspicion,
)

from .coordinating import FakeClock, declare, demand, make_coordinator

CRASHER = 13
TARGETS = ("d1", "d2", "d3", "d4")


class Crashes:
    """Callers who repeat what broke, and targets that one fingerprint crashes."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.epochs = dict.fromkeys(TARGETS, 1)
        self.crashed = []
        self.refused = set()
        self.running = {}
        self.start("A")

    def start(self, name, carried=()):
        declared = declare(TARGETS, max_concurrent=4)
        self.coordinator = make_coordinator(self.clock, declared, name)
        self.coordinator.join("e1", m.Join("drafts", suspects=carried))
        self.report()

    def report(self):
        now = self.clock()
        self.coordinator.renew("e1", now, now)
        for name, epoch in self.epochs.items():
            running = sum(target == name for _, target in self.running.values())
            report = m.LoadReport(name, str(epoch), running, 0)
            self.coordinator.observe(report)

    def ask(self, fingerprint):
        made = demand(fingerprint=fingerprint, max_wait=60.0)
        self.coordinator.submit("e1", made)
        self.decide({made.request_id: made})

    def decide(self, new=()):
        waiting = self.coordinator.waiting_demands.by_request
        by_id = {r: w.demand for r, w in waiting.items()} | dict(new)
        for addressed in self.coordinator.decide():
            message = addressed.message
            made = by_id[message.request_id]
            if isinstance(message, m.Grant):
                self.running[message.request_id] = (made, message.target)
            elif message.reason is m.RefusalReason.SUSPECT:
                self.refused.add(made.fingerprint)

    def end(self, request_id, result):
        self.running.pop(request_id)
        self.coordinator.finish("e1", m.Completion(request_id, "drafts", result))

    def step(self):
        """End one run, or crash its target with all that runs there."""
        self.clock.now += 0.5
        if self.running:
            request_id = self.rng.choice(sorted(self.running))
            made, target = self.running[request_id]
            if made.fingerprint == CRASHER:
                self.crash(target)
            else:
                self.end(request_id, m.Result.COMPLETED)
        self.report()
        self.decide()

    def crash(self, target):
        self.crashed.append(target)
        self.epochs[target] += 1
        broken = [(r, d) for r, (d, where) in self.running.items() if where == target]
        suspicion = self.coordinator.suspects.suspicion(CRASHER)
        assert suspicion is Suspicion.NONE or len(broken) == 1, "it ran alone"
        for request_id, _ in broken:
            self.end(request_id, m.Result.BROKEN)
        for _, made in broken:
            self.ask(made.fingerprint)


@given(st.integers(0, 10**6), st.integers(0, 12), st.booleans())
def test_a_crashing_request_takes_down_two_targets_and_condemns_no_neighbour(
    seed, neighbours, replaced
):
    crashes = Crashes(seed)
    fingerprints = [CRASHER, *range(100, 100 + neighbours)]
    crashes.rng.shuffle(fingerprints)
    for fingerprint in fingerprints:
        crashes.ask(fingerprint)
    for step in range(120):
        for number in range(crashes.rng.randint(0, 2)):
            crashes.ask(1000 + 10 * step + number)
        if replaced and step == 20:
            for request_id in sorted(crashes.running):
                crashes.end(request_id, m.Result.CANCELLED)
            crashes.start("B", crashes.coordinator.suspects.carried())
            crashes.ask(CRASHER)
        crashes.step()
    crashes.ask(CRASHER)
    assert len(set(crashes.crashed)) == len(crashes.crashed) == BARRED_AFTER_TARGETS
    assert crashes.refused == {CRASHER}


def test_a_suspect_crashing_the_only_target_is_barred_after_it_ran_alone():
    table = SuspectTable(FakeClock())
    table.blame(1, ["d1"])
    assert table.suspicion(1) is Suspicion.SOLO
    table.blame(1, ["d1", "d1/alone"])
    assert table.suspicion(1) is Suspicion.BARRED


def test_a_bar_ends_and_what_is_carried_is_bounded():
    clock = FakeClock()
    table = SuspectTable(clock)
    for fingerprint in range(1, 2000):
        table.blame(fingerprint, ["d1", "d2"])
    assert len(table.carried()) == MAX_CARRIED
    clock.now += BAR_SECONDS / 2
    later = SuspectTable(clock)
    later.adopt(table.carried())
    assert later.suspicion(1999) is Suspicion.BARRED
    assert later.retry_after(1999) == BAR_SECONDS / 2
    clock.now += BAR_SECONDS / 2 + 1
    assert later.suspicion(1999) is Suspicion.NONE
