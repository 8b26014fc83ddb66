"""One run of the soak: callers, faults, and the promises afterwards."""

import random
import time
from dataclasses import dataclass

from .callers import Caller
from .faults import Series, wait_until
from .fleet import SoakFleet

CALLERS = 12
SERIES = 3
# All gateways must be ready and serve again this long after the last fault.
RECOVER_SECONDS = 12.0


@dataclass(frozen=True)
class Report:
    """What one run has shown.

    Parameters
    ----------
    broken : list of str
        Promises that broke, in words.
    runs, faults : int
        Requests that ran, and faults that began.
    told : dict of str to int
        How many callers were told each status.
    """

    broken: list
    runs: int
    faults: int
    told: dict


def soak(folder, seed, seconds, gateways=4):
    """Run gateways under faults and return a `Report`.

    Parameters
    ----------
    folder : Path
        Where logs and the list of faults go.
    seed : int
        Chooses faults and requests; the timing of processes is not repeated.
    """
    rng = random.Random(seed)
    with SoakFleet(folder, gateways) as fleet:
        callers = [
            Caller(f"c{number}", fleet, fleet.ledger, rng.random())
            for number in range(CALLERS)
        ]
        series = [Series(fleet, random.Random(rng.random())) for _ in range(SERIES)]
        time.sleep(seconds)
        for one in series:
            one.stop()
        recovered = wait_until(
            lambda: len(fleet.ready) == gateways, RECOVER_SECONDS
        ) and wait_until(lambda: _serves(fleet), RECOVER_SECONDS)
        for caller in callers:
            caller.stopped.set()
        for caller in callers:
            caller.thread.join()
        if not recovered:
            fleet.ledger.breaks("the fleet did not recover")
        # A request that was refused must not run later either.
        time.sleep(1.0)
        broken = fleet.ledger.check(fleet.terms)
        faults = [f"{at:.3f} {words}" for at, words in fleet.events]
        (folder / "faults.txt").write_text("\n".join([*faults, *broken, ""]))
        begun = sum(not words.endswith(": over") for _, words in fleet.events)
        return Report(broken, len(fleet.ledger.runs), begun, fleet.ledger.summary())


def _serves(fleet):
    """Tell whether the newest requests are served."""
    newest = fleet.ledger.told[-20:]
    return sum(told.status == 200 for told in newest) > len(newest) / 2
