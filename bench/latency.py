"""Measure the latency that the whole path adds to a small answer when idle.

Each round sends one request to the target alone and one through an instance,
one after the other, so that both meet the same conditions.
"""

import json
import time
from pathlib import Path

import defopt
import numpy as np
import urllib3

from .fleet import Fleet, sample_declarations

WARM_UP_ROUNDS = 50
KEY = {"Authorization": "Bearer key-partner-a"}


def timed(pool, method, path, body):
    """Return the seconds that a request took."""
    started = time.perf_counter()
    answer = pool.urlopen(method, path, body=body, headers=KEY, retries=False)
    if answer.status != 200:
        raise RuntimeError(f"{path} answered {answer.status}: {answer.data!r}")
    return time.perf_counter() - started


def added(alone, through, rounds, method, body):
    """Return the p50 and p99 of both and of their differences, seconds."""
    pairs = [
        (
            timed(alone, method, "/stock", body),
            timed(through, method, "/bookings/stock", body),
        )
        for _ in range(WARM_UP_ROUNDS + rounds)
    ][WARM_UP_ROUNDS:]
    times = np.array(pairs)
    alone_p50, alone_p99 = np.percentile(times[:, 0], (50, 99))
    p50, p99 = np.percentile(times[:, 1], (50, 99))
    return {
        "alone_p50": float(alone_p50),
        "alone_p99": float(alone_p99),
        "through_p50": float(p50),
        "through_p99": float(p99),
        "added_p50": float(p50 - alone_p50),
        "added_p99": float(p99 - alone_p99),
    }


def run(rounds: int = 500, *, out: Path | None = None):
    """Compare small answers through an instance with the target alone.

    Parameters
    ----------
    rounds
        Pairs of requests for each kind of request.
    out
        Where to write the figures as JSON.
    """
    figures = {}
    with Fleet(sample_declarations()) as fleet:
        fleet.start_target("d1", "drafts", "muc-a")
        target = fleet.start_target("b1", "bookings", "muc-a")
        for name in ("e1", "e2", "e3"):
            fleet.start_instance(name, "muc-a")
        fleet.list_instances()
        fleet.await_ready(fleet.publish())
        alone = urllib3.HTTPConnectionPool("127.0.0.1", target.port, maxsize=1)
        for name, member in fleet.instances_by_id.items():
            through = urllib3.HTTPConnectionPool("127.0.0.1", member.port, maxsize=1)
            for method, body in (("GET", None), ("POST", b'{"reel":7}')):
                figures[f"{name} {method}"] = added(
                    alone, through, rounds, method, body
                )
    for name, figure in figures.items():
        print(
            name,
            "  ".join(f"{key} {value * 1e3:.2f} ms" for key, value in figure.items()),
        )
    if out is not None:
        out.write_text(json.dumps(figures, indent=2))


if __name__ == "__main__":
    defopt.run(run, cli_options="has_default")
