"""One run of the soak test: callers, faults and the check of the guarantees."""

import random
import time
from dataclasses import dataclass

from .callers import Caller
from .faults import (
    CRASHING_REQUEST_BY_NAME,
    CRASHING_REQUEST_PAUSE_SECONDS,
    CRASHING_STREAM_OR_PART_BY_NAME,
    LIMIT_FAULT_BY_NAME,
    LINK_FAULT_BY_NAME,
    STORE_COPY_FAULT_BY_NAME,
    STORE_COPY_PAUSE_SECONDS,
    FaultSequence,
    wait_until,
)
from .fleet import SoakFleet

CALLER_COUNT = 12
FAULT_SEQUENCE_COUNT = 3
# All gateways must be ready within this time after the last fault, and serve
# requests again within the same time after that.
RECOVERY_SECONDS = 12.0


@dataclass(frozen=True)
class Report:
    """Result of one run.

    Parameters
    ----------
    violations : list of str
        Violated guarantees, as messages.
    runs, faults : int
        Number of executions at targets and of injected faults.
    count_by_status : dict of str to int
        Number of requests by the status that the caller received.
    """

    violations: list
    runs: int
    faults: int
    count_by_status: dict


def soak(folder, seed, seconds, gateways=4):
    """Run gateways under random faults and return a `Report`.

    Parameters
    ----------
    folder : Path
        Folder for the logs and the list of faults.
    seed : int
        Seed of the faults and requests. The timing of processes isn't reproducible.
    """
    rng = random.Random(seed)
    with SoakFleet(folder, gateways) as fleet:
        callers = [
            Caller(f"c{number}", fleet, fleet.ledger, rng.random())
            for number in range(CALLER_COUNT)
        ]
        sequences = [
            FaultSequence(fleet, random.Random(rng.random()))
            for _ in range(FAULT_SEQUENCE_COUNT)
        ]
        sequences += [
            FaultSequence(
                fleet,
                random.Random(rng.random()),
                fault_by_name,
                CRASHING_REQUEST_PAUSE_SECONDS,
            )
            for fault_by_name in (
                CRASHING_REQUEST_BY_NAME,
                CRASHING_STREAM_OR_PART_BY_NAME,
            )
        ]
        sequences += [
            FaultSequence(fleet, random.Random(rng.random()), fault_by_name)
            for fault_by_name in (LINK_FAULT_BY_NAME, LIMIT_FAULT_BY_NAME)
        ]
        sequences.append(
            FaultSequence(
                fleet,
                random.Random(rng.random()),
                STORE_COPY_FAULT_BY_NAME,
                STORE_COPY_PAUSE_SECONDS,
            )
        )
        time.sleep(seconds)
        for sequence in sequences:
            sequence.stop()
        recovered = wait_until(
            lambda: len(fleet.ready) == gateways, RECOVERY_SECONDS
        ) and wait_until(lambda: _serves_requests(fleet), RECOVERY_SECONDS)
        for caller in callers:
            caller.stopped.set()
        for caller in callers:
            caller.thread.join()
        if not recovered:
            fleet.ledger.record_violation("the fleet did not recover")
        # A refused request must not run later either, so the check waits for a second.
        time.sleep(1.0)
        violations = fleet.ledger.check(fleet.limits)
        fault_lines = [f"{at:.3f} {event}" for at, event in fleet.fault_events]
        (folder / "faults.txt").write_text("\n".join([*fault_lines, *violations, ""]))
        fault_count = sum(
            not event.endswith(": over") for _, event in fleet.fault_events
        )
        return Report(
            violations,
            len(fleet.ledger.runs),
            fault_count,
            fleet.ledger.count_by_status(),
        )


def _serves_requests(fleet):
    """Return whether most of the last 20 requests succeeded."""
    latest = fleet.ledger.outcomes[-20:]
    return sum(outcome.status == 200 for outcome in latest) > len(latest) / 2
