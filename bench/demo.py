"""Demonstrate a complete deployment on loopback under maintenance and faults.

Starts the stand-ins and entry instances of one of the examples, sends mixed
traffic of all tiers, evacuates a data centre and returns it to service, stops one
instance gracefully, kills another, and prints the results at callers and targets.
"""

import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import yaml

from standin.load import LoadRun, Stream, plan_arrivals, summarise

from .fleet import Fleet

EXAMPLE = Path("examples/leinwandwerbung.yaml")
MODEL = "spot-script-8b"
DATA_CENTRE = "nue-a"
INSTANCES = 4
LOAD_SECONDS = 20.0
OUT_AT, STOP_AT, KILL_AT, BACK_AT = 4.0, 8.0, 11.0, 13.0
# Delay until a killed instance is removed from the list of instances.
LIST_LAG_SECONDS = 1.5
# New dispatches to an evacuated data centre are allowed for this long after the
# change is published.
EVACUATION_GRACE_SECONDS = 3.0
SEED = 7
RATE_BY_WORKSPACE = {
    "partner-altmann": 6.0,
    "partner-brandl": 4.0,
    "agency-portal": 4.0,
    "cinema-managers": 4.0,
}
ENGINE_FLAGS = ("--step", "0.02", "--lag", "0.5")


@dataclass
class EvacuationTimes:
    """Times of the evacuation and of its end, seconds since the epoch."""

    out: float = 0.0
    back: float = 0.0


def main():
    """Run the demo; return 1 if a guarantee was violated, otherwise 0."""
    document = yaml.safe_load(EXAMPLE.read_text(encoding="utf-8"))
    declared_targets = document.pop("targets")
    with Fleet(document) as fleet:
        print("starting the stand-ins and the instances ...")
        _start(fleet, declared_targets)
        load = LoadRun(
            [member.url for member in fleet.instances_by_id.values()],
            plan_arrivals(_streams(document), LOAD_SECONDS, SEED),
        )
        evacuation = EvacuationTimes()
        operators = threading.Thread(target=_operate, args=(fleet, load, evacuation))
        operators.start()
        samples = load.run()
        operators.join()
        return _report(fleet, samples, evacuation)


def _start(fleet, declared_targets):
    for name, target in declared_targets.items():
        engine = fleet.declarations["services"][target["service"]]["kind"] == "engine"
        fleet.start_target(
            name,
            target["service"],
            target["data_centre"],
            *(ENGINE_FLAGS if engine else ()),
            max_concurrent=target["max_concurrent"],
        )
    centres = list(fleet.declarations["data_centres"])
    for number in range(INSTANCES):
        fleet.start_instance(f"entry-{number + 1}", centres[number % 2])
    fleet.list_instances()
    fleet.await_ready(fleet.publish())


def _streams(document):
    tier_by_plan = {name: plan["tier"] for name, plan in document["plans"].items()}
    for workspace, rate in RATE_BY_WORKSPACE.items():
        tier = tier_by_plan[document["workspaces"][workspace]["plan"]]
        key = f"demo-{workspace}"
        yield Stream(workspace, key, tier, rate, MODEL, max_tokens=160)
        yield Stream(workspace, key, tier, rate, path=f"/bookings/reels/{workspace}")


def _operate(fleet, load, evacuation):
    def wait_until(seconds):
        while not load.started_at:
            time.sleep(0.01)
        time.sleep(max(0.0, load.started_at + seconds - time.monotonic()))

    names = list(fleet.instances_by_id)
    wait_until(OUT_AT)
    evacuation.out = _set_centre(fleet, "out")
    wait_until(STOP_AT)
    print(f"stopping {names[-1]} gracefully")
    stopped = fleet.instances_by_id[names[-1]]
    load.urls.remove(stopped.url)
    fleet.list_instances(leaving=[stopped.name])
    stopped.process.terminate()
    wait_until(KILL_AT)
    del fleet.instances_by_id[stopped.name]
    print(f"killing {names[-2]}")
    killed = fleet.instances_by_id[names[-2]]
    killed.process.kill()
    load.urls.remove(killed.url)
    wait_until(KILL_AT + LIST_LAG_SECONDS)
    del fleet.instances_by_id[killed.name]
    fleet.list_instances()
    wait_until(BACK_AT)
    evacuation.back = _set_centre(fleet, "in")
    for member in (stopped, killed):
        member.process.wait(LOAD_SECONDS)


def _set_centre(fleet, state):
    print(f"taking data centre {DATA_CENTRE} {state}")
    fleet.declarations["data_centres"][DATA_CENTRE]["state"] = state
    fleet.publish()
    return time.time()


def _report(fleet, samples, evacuation):
    report = summarise(samples)
    ledgers = {name: fleet.ledger(name) for name in fleet.targets_by_id}
    late = _last_dispatch(fleet, ledgers, evacuation) - evacuation.out
    duplicates = _duplicates(ledgers)
    engines = [ledger for ledger in ledgers.values() if "prefilled" in ledger]
    prefilled = sum(ledger["prefilled"] for ledger in engines)
    cached = sum(ledger["cached"] for ledger in engines)
    print(f"\n{'tier':>6} {'asked':>7} {'good':>7} {'goodput':>8}")
    for tier, asked in sorted(report.asked_by_tier.items()):
        good = report.good_by_tier[tier]
        print(f"{tier:>6} {asked:>7} {good:>7} {good / asked:>8.3f}")
    print(f"first token p50 {report.first_token_p50:.3f} s, ", end="")
    print(f"p95 {report.first_token_p95:.3f} s; gap p95 {report.gap_p95:.3f} s")
    print(f"prompt tokens computed {prefilled}, taken from caches {cached}")
    print(f"errors told to callers: {report.codes or 'none'}")
    print(f"duplicates: {duplicates}")
    print(f"last new dispatch to {DATA_CENTRE} after it was taken out: {late:.2f} s")
    return int(duplicates > 0 or late > EVACUATION_GRACE_SECONDS)


def _last_dispatch(fleet, ledgers, evacuation):
    times = [
        at
        for name, ledger in ledgers.items()
        if fleet.targets_by_id[name].data_centre == DATA_CENTRE
        for at in ledger["times"]
        if evacuation.out < at < evacuation.back
    ]
    return max(times, default=evacuation.out)


def _duplicates(ledgers):
    runs: Counter = Counter()
    for ledger in ledgers.values():
        runs.update(ledger.get("runs", {}))
        runs.update(ledger.get("requests", []))
    return sum(count - 1 for count in runs.values())


if __name__ == "__main__":
    sys.exit(main())
