"""Measure the CPU cost of a decision by number of targets and waiting demands."""

import time
from dataclasses import dataclass

import numpy as np
import orjson

from almondglade import messages as m
from almondglade.coordinator.core import Coordinator
from almondglade.declarations import parse_declarations

POOL = "drafts"
ENTRIES = 9
DECISIONS = 2000
ROUNDS = 5
SLOTS = 4
MICROSECONDS_PER_SECOND = 1e6


@dataclass(frozen=True)
class Cost:
    """CPU time of one demand from submission to completion, microseconds."""

    targets: int
    waiting: int
    micros: float


def declarations_of(targets):
    """Return parsed declarations of one pool with a number of targets."""
    allowances = {POOL: {"concurrent": 100_000}}
    document = {
        "plans": {"p": {"tier": 0, "allowances": allowances}},
        "workspaces": {"w": {"plan": "p"}},
        "data_centres": {"dc": {}},
        "services": {POOL: {"kind": "engine", "queue_length": 10_000}},
        "targets": {
            f"t{number:03}": {
                "service": POOL,
                "data_centre": "dc",
                "url": "http://127.0.0.1:1",
                "max_concurrent": SLOTS,
            }
            for number in range(targets)
        },
    }
    return parse_declarations(orjson.dumps(document))


class Bench:
    """One coordinator whose targets are kept full, with demands waiting.

    Parameters
    ----------
    targets : int
        Number of targets of the pool.
    waiting : int
        Number of demands in the queue at all times.
    """

    def __init__(self, targets, waiting):
        self.now = 100.0
        self.coordinator = Coordinator(
            POOL, "A", lambda: self.now, np.random.default_rng(1)
        )
        self.coordinator.configure(declarations_of(targets))
        for number in range(ENTRIES):
            self.coordinator.join(f"e{number}", m.Join(POOL))
            self.coordinator.renew(f"e{number}", self.now, self.now)
        for name, record in self.coordinator.targets_by_id.items():
            record.limit.limit = float(SLOTS)
            self.coordinator.observe(m.LoadReport(name, "1", 0, 0))
        self.running = []
        self.number = 0
        for _ in range(targets * SLOTS - (0 if waiting else 1) + waiting):
            self.submit()

    def submit(self):
        """Submit a demand and record the resulting grants."""
        self.number += 1
        name = f"r{self.number}"
        demand = m.Demand(name, POOL, "w", 0, 100, 100, max_wait=1000.0)
        self.coordinator.submit(f"e{self.number % ENTRIES}", demand)
        self.record_grants()

    def record_grants(self):
        """Run the coordinator's decision and record the grants."""
        for addressed in self.coordinator.decide():
            self.running.append((addressed.entry, addressed.message.request_id))

    def replace_oldest(self):
        """Complete the oldest run and submit another demand."""
        entry, request_id = self.running.pop(0)
        done = m.Completion(request_id, POOL, m.Result.COMPLETED, 100, 0, 100, 0.1, 1)
        self.coordinator.finish(entry, done)
        self.record_grants()
        self.submit()

    def run(self):
        """Return the mean CPU time of completing a run and submitting, seconds."""
        started = time.process_time()
        for _ in range(DECISIONS):
            self.replace_oldest()
        return (time.process_time() - started) / DECISIONS


def measure(targets, waiting):
    """Return the lowest `Cost` of several rounds."""
    seconds = min(Bench(targets, waiting).run() for _ in range(ROUNDS))
    return Cost(targets, waiting, seconds * MICROSECONDS_PER_SECOND)


def main():
    """Print the costs and their ratios to the first."""
    costs = [measure(t, w) for t in (14, 100) for w in (0, 256)]
    for cost in costs:
        ratio = cost.micros / costs[0].micros
        print(f"{cost.targets:4} targets {cost.waiting:4} waiting", end=" ")
        print(f"{cost.micros:8.1f} us  {ratio:5.2f} of the first")


if __name__ == "__main__":
    main()
