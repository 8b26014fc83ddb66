"""Measure the latency that an idle instance adds to a small response.

Each round sends one request directly to the target and then one through an
instance, so that both run under the same conditions.
"""

import json
import time
from pathlib import Path

import defopt
import numpy as np
import urllib3

from .fleet import Fleet, sample_declarations

WARM_UP_ROUNDS = 50
AUTHORIZATION = {"Authorization": "Bearer key-partner-a"}


def request_seconds(pool, method, path, body):
    """Send a request and return its duration, seconds.

    Raises
    ------
    RuntimeError
        If the status of the response is not 200.
    """
    started = time.perf_counter()
    response = pool.urlopen(
        method, path, body=body, headers=AUTHORIZATION, retries=False
    )
    if response.status != 200:
        raise RuntimeError(f"{path} answered {response.status}: {response.data!r}")
    return time.perf_counter() - started


def added_latency(alone, through, rounds, method, body):
    """Return p50 and p99 of direct and relayed requests and their differences, seconds.

    Parameters
    ----------
    alone, through : urllib3.HTTPConnectionPool
        Connections to the target itself and to an instance.
    """
    pairs = [
        (
            request_seconds(alone, method, "/stock", body),
            request_seconds(through, method, "/bookings/stock", body),
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
    """Compare the latency through an instance with that of the target itself.

    Parameters
    ----------
    rounds
        Pairs of requests for each method and instance.
    out
        File to write the figures to as JSON.
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
                figures[f"{name} {method}"] = added_latency(
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
