"""The demo: a whole deployment on loopback, through operators' and other faults.

Starts the stand-ins and entry instances of one of the examples, sends mixed
traffic of all tiers, takes a data centre out and back, stops one instance
gracefully, kills another, and prints what the callers and targets saw.
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
# The list of instances tells of a killed one this much later.
LIST_LAG_SECONDS = 1.5
# After a change is published, dispatches are allowed for this long.
NOTICE_SECONDS = 3.0
SEED = 7
RATE_BY_WORKSPACE = {
    "partner-altmann": 6.0,
    "partner-brandl": 4.0,
    "agency-portal": 4.0,
    "cinema-managers": 4.0,
}
ENGINE_FLAGS = ("--step", "0.02", "--lag", "0.5")


@dataclass
class Moments:
    """When the operators' changes took place, seconds since the epoch."""

    out: float = 0.0
    back: float = 0.0


def main():
    """Run the demo; exit with 1 if a promise was broken."""
    document = yaml.safe_load(EXAMPLE.read_text(encoding="utf-8"))
    declared = document.pop("targets")
    with Fleet(document) as fleet:
        print("starting the stand-ins and the instances ...")
        _start(fleet, declared)
        load = LoadRun(
            [member.url for member in fleet.instances_by_id.values()],
            plan_arrivals(_streams(document), LOAD_SECONDS, SEED),
        )
        moments = Moments()
        operators = threading.Thread(target=_operate, args=(fleet, load, moments))
        operators.start()
        samples = load.run()
        operators.join()
        return _report(fleet, samples, moments)


def _start(fleet, declared):
    for name, target in declared.items():
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


def _operate(fleet, load, moments):
    def at(seconds):
        while not load.started_at:
            time.sleep(0.01)
        time.sleep(max(0.0, load.started_at + seconds - time.monotonic()))

    names = list(fleet.instances_by_id)
    at(OUT_AT)
    moments.out = _set_centre(fleet, "out")
    at(STOP_AT)
    print(f"stopping {names[-1]} gracefully")
    stopped = fleet.instances_by_id[names[-1]]
    load.urls.remove(stopped.url)
    fleet.list_instances(leaving=[stopped.name])
    stopped.process.terminate()
    at(KILL_AT)
    del fleet.instances_by_id[stopped.name]
    print(f"killing {names[-2]}")
    killed = fleet.instances_by_id[names[-2]]
    killed.process.kill()
    load.urls.remove(killed.url)
    at(KILL_AT + LIST_LAG_SECONDS)
    del fleet.instances_by_id[killed.name]
    fleet.list_instances()
    at(BACK_AT)
    moments.back = _set_centre(fleet, "in")
    for member in (stopped, killed):
        member.process.wait(LOAD_SECONDS)


def _set_centre(fleet, state):
    print(f"taking data centre {DATA_CENTRE} {state}")
    fleet.declarations["data_centres"][DATA_CENTRE]["state"] = state
    fleet.publish()
    return time.time()


def _report(fleet, samples, moments):
    report = summarise(samples)
    ledgers = {name: fleet.ledger(name) for name in fleet.targets_by_id}
    late = _last_dispatch(fleet, ledgers, moments) - moments.out
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
    return int(duplicates > 0 or late > NOTICE_SECONDS)


def _last_dispatch(fleet, ledgers, moments):
    times = [
        at
        for name, ledger in ledgers.items()
        if fleet.targets_by_id[name].data_centre == DATA_CENTRE
        for at in ledger["times"]
        if moments.out < at < moments.back
    ]
    return max(times, default=moments.out)


def _duplicates(ledgers):
    runs: Counter = Counter()
    for ledger in ledgers.values():
        runs.update(ledger.get("runs", {}))
        runs.update(ledger.get("requests", []))
    return sum(count - 1 for count in runs.values())


if __name__ == "__main__":
    sys.exit(main())
