"""Tier order over all entries, checked on every decision of a random simulation."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from almondglade import messages as m
from almondglade.coordinator.shedding import (
    PREEMPT_LEAD_SECONDS,
    RECOVERY_SECONDS,
    AdmissionLevel,
)

from .coordinating import FakeClock, declare, demand, make_coordinator

STEP_SECONDS = 0.05
STEPS = 400
ENTRIES = 3


class TierSimulation:
    """Simulation of random arrivals and completions that checks each decision."""

    def __init__(self, seed, slots, queue_length, max_arrivals):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        declared = declare(("d1", "d2"), slots, queue_length)
        self.coordinator = make_coordinator(self.clock, declared)
        self.demands = {}
        self.runs = {}
        self.preemptors = set()
        self.shed_at_by_tier = {}
        self.shed_count = 0
        self.max_arrivals = max_arrivals
        self.next_entry = 0
        self.entries = []
        for _ in range(ENTRIES):
            self.add_entry()
        for target in ("d1", "d2"):
            self.coordinator.observe(m.LoadReport(target, "1", 0, 0))

    def add_entry(self):
        self.entries.append(f"e{self.next_entry}")
        self.next_entry += 1
        self.coordinator.join(self.entries[-1], m.Join("drafts"))

    def run(self):
        for _ in range(STEPS):
            self.clock.now += STEP_SECONDS
            now = self.clock()
            for entry in self.entries:
                self.coordinator.renew(entry, now, now)
            if self.rng.random() < 0.01:
                self.replace_entry()
            self.end_runs()
            for _ in range(self.rng.randint(0, self.max_arrivals)):
                self.submit_demand()
            self.check(self.coordinator.decide())

    def replace_entry(self):
        entry = self.entries.pop(0)
        self.coordinator.leave(entry)
        self.runs = {r: run for r, run in self.runs.items() if run[1] != entry}
        self.add_entry()

    def end_runs(self):
        for request_id, (ends, entry) in list(self.runs.items()):
            if ends <= self.clock():
                del self.runs[request_id]
                done = m.Completion(request_id, "drafts", m.Result.COMPLETED)
                self.coordinator.finish(entry, done)

    def submit_demand(self):
        new_demand = demand(
            self.rng.randrange(4),
            max_wait=self.rng.choice([0.3, 1.0, 3.0, 10.0]),
            preemptible=self.rng.random() < 0.7,
        )
        self.demands[new_demand.request_id] = new_demand
        self.coordinator.submit(self.rng.choice(self.entries), new_demand)

    def check(self, decided):
        now = self.clock()
        messages = [addressed.message for addressed in decided]
        for addressed in decided:
            match addressed.message:
                case m.Preemption(request_id):
                    self.preempt(request_id, addressed.entry)
                case m.Refusal(request_id):
                    self.check_shed(self.demands[request_id], messages)
        for addressed in decided:
            if isinstance(addressed.message, m.Grant):
                request_id = addressed.message.request_id
                self.check_grant(self.demands[request_id])
                ends = now + self.rng.expovariate(1.0)
                self.runs[request_id] = (ends, addressed.entry)

    def preempt(self, request_id, entry):
        preemptor = self.coordinator.preemptor_by_request[request_id]
        victim = self.demands[request_id]
        assert victim.preemptible
        assert victim.tier > self.demands[preemptor].tier
        assert preemptor not in self.preemptors, (
            "at most one run is preempted for each demand"
        )
        self.preemptors.add(preemptor)
        if request_id in self.runs:
            ends_at = self.clock() + PREEMPT_LEAD_SECONDS / 4
            self.runs[request_id] = (min(ends_at, self.runs[request_id][0]), entry)

    def check_shed(self, shed_demand, messages):
        self.shed_count += 1
        self.shed_at_by_tier[shed_demand.tier] = self.clock()
        running = [
            run.demand.request_id
            for run in self.coordinator.running_by_request.values()
            if run.demand.tier > shed_demand.tier
            and run.demand.preemptible
            and not run.preempted
            and run.lost_at is None
            and run.granted_at < self.clock()
        ]
        assert not running or shed_demand.request_id in self.preemptors

    def check_grant(self, granted):
        for tier, at in self.shed_at_by_tier.items():
            if granted.tier > tier:
                assert self.clock() - at >= RECOVERY_SECONDS
        waiting = self.coordinator.waiting_demands.by_request.values()
        assert not [w for w in waiting if w.demand.tier < granted.tier]


@settings(max_examples=60)
@given(st.integers(0, 10**6), st.integers(1, 4), st.integers(2, 12), st.integers(1, 4))
def test_no_tier_is_shed_while_a_lower_one_is_granted_or_could_be_preempted(
    seed, slots, queue_length, max_arrivals
):
    simulation = TierSimulation(seed, slots, queue_length, max_arrivals)
    simulation.run()


def test_a_full_queue_sheds_the_newest_demand_of_the_lowest_tier():
    simulation = TierSimulation(1, 1, 2, 1)
    arrivals = [demand(tier) for tier in (0, 0, 2, 1, 2, 0)]
    simulation.demands = {new_demand.request_id: new_demand for new_demand in arrivals}
    for new_demand in arrivals:
        simulation.clock.now += STEP_SECONDS
        simulation.coordinator.renew("e0", simulation.clock(), simulation.clock())
        simulation.coordinator.submit("e0", new_demand)
        simulation.check(simulation.coordinator.decide())
    still_waiting = {
        w.demand.request_id
        for w in simulation.coordinator.waiting_demands.by_request.values()
    }
    assert still_waiting == {arrivals[3].request_id, arrivals[5].request_id}


def test_shedding_a_blocked_tier_does_not_block_it_longer():
    clock = FakeClock()
    level = AdmissionLevel(clock)
    level.record_shed(0)
    for _ in range(40):
        clock.now += RECOVERY_SECONDS / 4
        level.record_shed(2)
    assert level.lowest_tier >= 2
