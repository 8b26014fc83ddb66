"""Requests that crash their targets, and requests that run beside them."""

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

CRASHING_FINGERPRINT = 13
TARGETS = ("d1", "d2", "d3", "d4")


class CrashSimulation:
    """Simulation of targets that one fingerprint crashes and callers that retry."""

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

    def submit(self, fingerprint):
        request = demand(fingerprint=fingerprint, max_wait=60.0)
        self.coordinator.submit("e1", request)
        self.decide({request.request_id: request})

    def decide(self, new=()):
        waiting = self.coordinator.waiting_demands.by_request
        by_id = {r: w.demand for r, w in waiting.items()} | dict(new)
        for addressed in self.coordinator.decide():
            message = addressed.message
            request = by_id[message.request_id]
            if isinstance(message, m.Grant):
                self.running[message.request_id] = (request, message.target)
            elif message.reason is m.RefusalReason.SUSPECT:
                self.refused.add(request.fingerprint)

    def end(self, request_id, result):
        self.running.pop(request_id)
        self.coordinator.finish("e1", m.Completion(request_id, "drafts", result))

    def step(self):
        """Complete one run, or crash its target if it is the crashing request."""
        self.clock.now += 0.5
        if self.running:
            request_id = self.rng.choice(sorted(self.running))
            request, target = self.running[request_id]
            if request.fingerprint == CRASHING_FINGERPRINT:
                self.crash(target)
            else:
                self.end(request_id, m.Result.COMPLETED)
        self.report()
        self.decide()

    def crash(self, target):
        self.crashed.append(target)
        self.epochs[target] += 1
        broken = [(r, d) for r, (d, where) in self.running.items() if where == target]
        suspicion = self.coordinator.suspects.suspicion(CRASHING_FINGERPRINT)
        assert suspicion is Suspicion.NONE or len(broken) == 1, "the suspect runs alone"
        for request_id, _ in broken:
            self.end(request_id, m.Result.BROKEN)
        for _, request in broken:
            self.submit(request.fingerprint)


@given(st.integers(0, 10**6), st.integers(0, 12), st.booleans())
def test_a_crashing_request_crashes_two_targets_and_only_it_is_refused(
    seed, other_requests, replaced
):
    simulation = CrashSimulation(seed)
    fingerprints = [CRASHING_FINGERPRINT, *range(100, 100 + other_requests)]
    simulation.rng.shuffle(fingerprints)
    for fingerprint in fingerprints:
        simulation.submit(fingerprint)
    for step in range(120):
        for number in range(simulation.rng.randint(0, 2)):
            simulation.submit(1000 + 10 * step + number)
        if replaced and step == 20:
            for request_id in sorted(simulation.running):
                simulation.end(request_id, m.Result.CANCELLED)
            simulation.start("B", simulation.coordinator.suspects.carried())
            simulation.submit(CRASHING_FINGERPRINT)
        simulation.step()
    simulation.submit(CRASHING_FINGERPRINT)
    assert (
        len(set(simulation.crashed)) == len(simulation.crashed) == BARRED_AFTER_TARGETS
    )
    assert simulation.refused == {CRASHING_FINGERPRINT}


def test_a_suspect_that_crashes_the_only_target_is_barred_after_its_solo_run():
    table = SuspectTable(FakeClock())
    table.blame(1, ["d1"])
    assert table.suspicion(1) is Suspicion.SOLO
    table.blame(1, ["d1", "d1/alone"])
    assert table.suspicion(1) is Suspicion.BARRED


def test_a_barred_fingerprint_is_allowed_later_and_the_handover_is_bounded():
    clock = FakeClock()
    table = SuspectTable(clock)
    for fingerprint in range(1, 2000):
        table.blame(fingerprint, ["d1", "d2"])
    assert len(table.carried()) == MAX_CARRIED
    clock.now += BAR_SECONDS / 2
    successor = SuspectTable(clock)
    successor.adopt(table.carried())
    assert successor.suspicion(1999) is Suspicion.BARRED
    assert successor.retry_after(1999) == BAR_SECONDS / 2
    clock.now += BAR_SECONDS / 2 + 1
    assert successor.suspicion(1999) is Suspicion.NONE


# A stream whose connection was closed when its target ended counted as complete, and
# cleared the request that had ended the target.
def test_a_run_that_only_its_connection_ended_does_not_clear_a_suspect():
    simulation = CrashSimulation(seed=1)
    coordinator = simulation.coordinator
    coordinator.suspects.blame(CRASHING_FINGERPRINT, ["d1"])
    for is_unframed in (True, False):
        simulation.submit(CRASHING_FINGERPRINT)
        (request_id,) = simulation.running
        simulation.running.clear()
        result = m.Result.COMPLETED
        coordinator.finish(
            "e1", m.Completion(request_id, "drafts", result, unframed=is_unframed)
        )
        suspicion = coordinator.suspects.suspicion(CRASHING_FINGERPRINT)
        assert suspicion is (Suspicion.SOLO if is_unframed else Suspicion.NONE)
