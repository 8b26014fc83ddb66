"""Run the soak by hand: `python -m soak --seeds 50`."""

import random
import sys
import tempfile
import time
from pathlib import Path

import defopt

from .run import soak


def main(*, seeds: int = 10, first: int = -1, seconds: float = 20.0):
    """Soak gateways under random faults and print the promises that broke.

    Parameters
    ----------
    seeds : int
        Runs.
    first : int
        Seed of the first run; a fresh one when negative.
    seconds : float
        Length of each run.
    """
    first = random.SystemRandom().randrange(10**6) if first < 0 else first
    failed = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        begun = time.monotonic()
        report = soak(folder, seed, seconds)
        failed += bool(report.broken)
        print(
            f"seed {seed}: {'FAILED' if report.broken else 'ok'}, "
            f"{time.monotonic() - begun:.0f} s, {report.faults} faults, "
            f"{report.runs} runs, told {report.told}",
            flush=True,
        )
        for words in report.broken:
            print(f"  {words}")
        if report.broken:
            print(f"  logs and faults: {folder}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(main)
