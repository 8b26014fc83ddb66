"""Cost of a coordinator's decision by targets and waiting demands."""

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
MICROSECONDS = 1e6


@dataclass(frozen=True)
class Cost:
    """Processor time of one demand, its grant and its end, microseconds."""

    targets: int
    waiting: int
    micros: float


def declarations_of(targets):
    """Return a document with one pool."""
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
    """One coordinator that is kept full, with demands waiting.

    Parameters
    ----------
    targets : int
        Targets of the pool.
    waiting : int
        Demands in the queue at all times.
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
        """Ask for a permit and take in what is granted."""
        self.number += 1
        name = f"r{self.number}"
        demand = m.Demand(name, POOL, "w", 0, 100, 100, max_wait=1000.0)
        self.coordinator.submit(f"e{self.number % ENTRIES}", demand)
        self.take()

    def take(self):
        """Decide and note the grants."""
        for addressed in self.coordinator.decide():
            self.running.append((addressed.entry, addressed.message.request_id))

    def turn(self):
        """End the oldest run and submit another demand."""
        entry, request_id = self.running.pop(0)
        done = m.Completion(request_id, POOL, m.Result.COMPLETED, 100, 0, 100, 0.1, 1)
        self.coordinator.finish(entry, done)
        self.take()
        self.submit()

    def run(self):
        """Return the processor time of one turn, seconds."""
        started = time.process_time()
        for _ in range(DECISIONS):
            self.turn()
        return (time.process_time() - started) / DECISIONS


def measure(targets, waiting):
    """Return the least `Cost` of some rounds."""
    seconds = min(Bench(targets, waiting).run() for _ in range(ROUNDS))
    return Cost(targets, waiting, seconds * MICROSECONDS)


def main():
    """Print the costs and their ratios."""
    costs = [measure(t, w) for t in (14, 100) for w in (0, 256)]
    for cost in costs:
        ratio = cost.micros / costs[0].micros
        print(f"{cost.targets:4} targets {cost.waiting:4} waiting", end=" ")
        print(f"{cost.micros:8.1f} us  {ratio:5.2f} of the first")


if __name__ == "__main__":
    main()
