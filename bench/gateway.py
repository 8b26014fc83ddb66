"""Measure the cost of a gateway's decisions, reports and idle traffic by fleet size."""

import asyncio
import time
import tracemalloc

from almondglade.catalogue import TargetRecord
from almondglade.gossip.codec import decode, encode
from almondglade.gossip.fleet import JOIN_SECONDS
from almondglade.gossip.messages import (
    CrashEvidence,
    Report,
    SuspectEvidence,
    SuspectReport,
    WaitingRequest,
)
from almondglade.placement.choice import TargetSelector
from almondglade.placement.cold import ColdTargetLimiter
from almondglade.placement.places import PeerLoad, Ticket
from almondglade.placement.pool import Pools
from almondglade.placement.suspects import (
    MAX_CRASHES_PER_SUSPECT,
    MAX_SUSPECTS,
    Crash,
    SuspectTable,
)
from test.test_fleet import run_fleet, send_rates, wait_until_known

ROUNDS = 200
SLOTS = 6
RUNNING_SHARE = 0.8


def decision_seconds(targets, instances):
    """Return the mean time to queue, grant and release a request, seconds.

    Parameters
    ----------
    targets : int
        Number of targets of the service.
    instances : int
        Number of instances in the fleet; all others report their running requests.
    """
    pools = Pools("e0", "north", TargetSelector("e0", ColdTargetLimiter(1.5, 5.0)))
    pools.set_targets(
        TargetRecord(f"t{number}", "drafts", "10.0.0.1", 80, "north", SLOTS)
        for number in range(targets)
    )
    running = int(RUNNING_SHARE * SLOTS * targets / max(1, instances - 1))
    for index in range(1, instances):
        names = [
            f"t{(index * running + number) % targets}" for number in range(running)
        ]
        load = {name: {0: 1} for name in names}
        pools.fleet.update(f"e{index}", PeerLoad(0.0, load))
    started_at = time.perf_counter()
    for _ in range(ROUNDS):
        ticket = Ticket("drafts", (0, 0), 0.0)
        pools.expected_wait("drafts", (0, 0), 0.0)
        pools.enqueue(ticket, 0.0)
        pools.match(0.0)
        pools.release(ticket, 0.5, 0.0)
    return (time.perf_counter() - started_at) / ROUNDS


def report_cost(running, waiting):
    """Return the size of a report in bytes and the seconds to encode and decode it."""
    report = Report(
        "instance-1",
        "north",
        1_700_000_000_000,
        1,
        running_by_target={f"i-{number:010x}": {0: 1} for number in range(running)},
        waiting=tuple(
            WaitingRequest(number, "drafts", (0, 0), 0.1, (), "instance-2", 100.0, 5.0)
            for number in range(waiting)
        ),
    )
    started_at = time.perf_counter()
    for _ in range(ROUNDS):
        decode(encode(report))
    return len(encode(report)), (time.perf_counter() - started_at) / ROUNDS


def suspect_report_cost(suspects, crashes):
    """Return the size of a suspect report and the seconds to encode and decode it."""
    evidence = tuple(
        CrashEvidence(f"i-{number:010x}", 1_700_000_000_000, 1.5, 1.0)
        for number in range(crashes)
    )
    report = SuspectReport(
        "instance-1",
        tuple(
            SuspectEvidence(2**63 + number, evidence, None)
            for number in range(suspects)
        ),
    )
    started_at = time.perf_counter()
    for _ in range(ROUNDS):
        decode(encode(report))
    return len(encode(report)), (time.perf_counter() - started_at) / ROUNDS


def suspect_table_cost():
    """Return the memory of a full table, bytes, and the seconds to add a suspect."""
    table = SuspectTable()

    def add(fingerprint):
        crashes = [
            Crash(f"i-{fingerprint}-{number}", 1, number, number + 0.5)
            for number in range(MAX_CRASHES_PER_SUSPECT)
        ]
        table.add(fingerprint, crashes, 100.0)

    tracemalloc.start()
    for fingerprint in range(MAX_SUSPECTS):
        add(fingerprint)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_at = time.perf_counter()
    for fingerprint in range(ROUNDS):
        add(MAX_SUSPECTS + fingerprint)
    return used, (time.perf_counter() - started_at) / ROUNDS


async def idle_rates(net, tasks, seeds):
    """Return the messages and bytes per second that an idle instance sends."""
    await wait_until_known(net, len(net.gossip_by_address))
    await asyncio.sleep(JOIN_SECONDS)
    return await send_rates(net)


def main():
    """Print the measured costs."""
    for instances in (9, 24, 76, 120, 330):
        messages, size = run_fleet(instances, idle_rates)
        print(f"idle: {instances} instances {messages:.1f} messages/s, {size:.0f} B/s")
    for targets, instances in ((6, 9), (8, 14), (18, 25), (70, 76), (184, 330)):
        milliseconds = 1000 * decision_seconds(targets, instances)
        print(
            f"decision: {targets} targets, {instances} instances {milliseconds:.2f} ms"
        )
    for running, waiting in ((2, 0), (4, 4), (8, 16)):
        size, seconds = report_cost(running, waiting)
        print(
            f"report: {running} running, {waiting} waiting "
            f"{size} B, {1000 * seconds:.3f} ms"
        )
    for suspects, crashes in ((1, 1), (4, 1), (4, MAX_CRASHES_PER_SUSPECT)):
        size, seconds = suspect_report_cost(suspects, crashes)
        print(
            f"suspect report: {suspects} suspects of {crashes} crashes "
            f"{size} B, {1000 * seconds:.3f} ms"
        )
    size, seconds = suspect_table_cost()
    print(f"suspects: full table {size / 1e6:.2f} MB, adding {1000 * seconds:.3f} ms")


if __name__ == "__main__":
    main()
