"""Run the soak test from the command line: `python -m soak --seeds 50`."""

import random
import sys
import tempfile
import time
from pathlib import Path

import defopt

from .run import soak


def main(*, seeds: int = 10, first: int = -1, seconds: float = 20.0):
    """Run gateways under random faults and print the violated guarantees.

    Parameters
    ----------
    seeds : int
        Number of runs.
    first : int
        Seed of the first run; a random one if negative.
    seconds : float
        Duration of each run.
    """
    first = random.SystemRandom().randrange(10**6) if first < 0 else first
    failed = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        started_at = time.monotonic()
        report = soak(folder, seed, seconds)
        failed += bool(report.violations)
        print(
            f"seed {seed}: {'FAILED' if report.violations else 'ok'}, "
            f"{time.monotonic() - started_at:.0f} s, {report.faults} faults, "
            f"{report.runs} runs, statuses {report.count_by_status}",
            flush=True,
        )
        for violation in report.violations:
            print(f"  {violation}")
        if report.violations:
            print(f"  logs and faults: {folder}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(main)
