"""Tier order over all entries, checked on the trace of decisions."""

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

STEP = 0.05
STEPS = 400
ENTRIES = 3


class Trace:
    """Random arrivals and ends at one coordinator, and what it decided."""

    def __init__(self, seed, slots, queue_length, rate):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        declared = declare(("d1", "d2"), slots, queue_length)
        self.coordinator = make_coordinator(self.clock, declared)
        self.demands = {}
        self.runs = {}
        self.preemptors = set()
        self.shed_at_by_tier = {}
        self.sheds = 0
        self.rate = rate
        self.next_entry = 0
        self.entries = []
        for _ in range(ENTRIES):
            self.enter()
        for target in ("d1", "d2"):
            self.coordinator.observe(m.LoadReport(target, "1", 0, 0))

    def enter(self):
        self.entries.append(f"e{self.next_entry}")
        self.next_entry += 1
        self.coordinator.join(self.entries[-1], m.Join("drafts"))

    def run(self):
        for _ in range(STEPS):
            self.clock.now += STEP
            now = self.clock()
            for entry in self.entries:
                self.coordinator.renew(entry, now, now)
            if self.rng.random() < 0.01:
                self.replace()
            self.end_runs()
            for _ in range(self.rng.randint(0, self.rate)):
                self.arrive()
            self.check(self.coordinator.decide())

    def replace(self):
        entry = self.entries.pop(0)
        self.coordinator.leave(entry)
        self.runs = {r: run for r, run in self.runs.items() if run[1] != entry}
        self.enter()

    def end_runs(self):
        for request_id, (ends, entry) in list(self.runs.items()):
            if ends <= self.clock():
                del self.runs[request_id]
                done = m.Completion(request_id, "drafts", m.Result.COMPLETED)
                self.coordinator.finish(entry, done)

    def arrive(self):
        made = demand(
            self.rng.randrange(4),
            max_wait=self.rng.choice([0.3, 1.0, 3.0, 10.0]),
            preemptible=self.rng.random() < 0.7,
        )
        self.demands[made.request_id] = made
        self.coordinator.submit(self.rng.choice(self.entries), made)

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
        assert preemptor not in self.preemptors, "one run is cancelled for each demand"
        self.preemptors.add(preemptor)
        if request_id in self.runs:
            soon = self.clock() + PREEMPT_LEAD_SECONDS / 4
            self.runs[request_id] = (min(soon, self.runs[request_id][0]), entry)

    def check_shed(self, given_up, messages):
        self.sheds += 1
        self.shed_at_by_tier[given_up.tier] = self.clock()
        running = [
            run.demand.request_id
            for run in self.coordinator.running_by_request.values()
            if run.demand.tier > given_up.tier
            and run.demand.preemptible
            and not run.preempted
            and run.lost_at is None
            and run.granted_at < self.clock()
        ]
        assert not running or given_up.request_id in self.preemptors

    def check_grant(self, granted):
        for tier, at in self.shed_at_by_tier.items():
            if granted.tier > tier:
                assert self.clock() - at >= RECOVERY_SECONDS
        waiting = self.coordinator.waiting_demands.by_request.values()
        assert not [w for w in waiting if w.demand.tier < granted.tier]


@settings(max_examples=60)
@given(st.integers(0, 10**6), st.integers(1, 4), st.integers(2, 12), st.integers(1, 4))
def test_no_tier_is_shed_while_a_lower_one_is_granted_or_could_be_cancelled(
    seed, slots, queue_length, rate
):
    trace = Trace(seed, slots, queue_length, rate)
    trace.run()


def test_a_full_queue_gives_up_the_newest_of_the_lowest_tier():
    trace = Trace(1, 1, 2, 1)
    arrivals = [demand(tier) for tier in (0, 0, 2, 1, 2, 0)]
    trace.demands = {made.request_id: made for made in arrivals}
    for made in arrivals:
        trace.clock.now += STEP
        trace.coordinator.renew("e0", trace.clock(), trace.clock())
        trace.coordinator.submit("e0", made)
        trace.check(trace.coordinator.decide())
    left = {
        w.demand.request_id
        for w in trace.coordinator.waiting_demands.by_request.values()
    }
    assert left == {arrivals[3].request_id, arrivals[5].request_id}


def test_sheds_of_a_tier_that_is_held_back_do_not_hold_it_back_longer():
    clock = FakeClock()
    level = AdmissionLevel(clock)
    level.record_shed(0)
    for _ in range(40):
        clock.now += RECOVERY_SECONDS / 4
        level.record_shed(2)
    assert level.lowest_tier >= 2
