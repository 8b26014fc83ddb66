"""Measure scheduling decisions against stand-ins, with selectable policies.

Each measure is a ratio to an ideal computed from the known profiles of the
stand-ins, or to a baseline of the same run. Steps are long and produce several
tokens each, so that the figures reflect the scheduling and not the CPU time of the
stand-ins, which is also reported.
"""

import json
import math
import sys
import threading
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

import defopt

from standin.load import LoadRun, plan_arrivals, summarise, wasted_prompt_tokens

from .fleet import Fleet
from .ideal import ideal_first_tokens
from .scenarios import (
    ADAPTIVE,
    INSTANCES,
    MAX_CONCURRENT,
    SCENARIOS,
    STEP_SECONDS,
    TOKENS_PER_STEP,
)


def evacuate(fleet, scenario):
    """Evacuate the data centre of the last engine."""
    fleet.declarations["data_centres"][scenario.engines[-1].data_centre] = {
        "state": "out"
    }
    fleet.publish()


def end_evacuation(fleet, scenario):
    """End the evacuation of the last engine's data centre."""
    fleet.declarations["data_centres"][scenario.engines[-1].data_centre] = {}
    fleet.publish()


def restart_engine(fleet, scenario):
    """Kill the last engine and restart it on the same port."""
    engine = scenario.engines[-1]
    fleet.targets_by_id[engine.name].process.kill()
    fleet.targets_by_id[engine.name].process.wait()
    fleet.start_target(
        engine.name,
        "drafts",
        engine.data_centre,
        *engine.flags,
        max_concurrent=MAX_CONCURRENT,
    )


# Seconds from the start of the load, and the change made at that time.
CHANGES = {
    "data-centre": ((10.0, evacuate), (16.0, end_evacuation)),
    "restart": ((8.0, restart_engine),),
}


@dataclass
class Outcome:
    """Results of one scenario under one set of policies."""

    scenario: str
    policies: tuple[str, str, str]
    goodput: float
    goodput_by_tier: dict[int, float]
    goodput_by_second: list[float]
    asked_tokens_by_tier: dict[int, int]
    good_tokens_by_tier: dict[int, int]
    first_token_p50: float
    first_token_p95: float
    ideal_first_token_p95: float
    lateness_p99: float
    prefilled: int
    wasted_prefill: int
    abandoned_tokens: int
    requests_by_target: dict[str, int]
    peak_by_target: dict[str, int]
    collapsed_by_target: dict[str, int]
    codes: dict[str, int]
    load_processor_share: float
    standin_processor_share: float
    limits: dict[str, float] = field(default_factory=dict)
    requests_by_workspace: dict[str, list[int]] = field(default_factory=dict)
    drawn_by_workspace: dict[str, int] = field(default_factory=dict)


def run_scenario(scenario, policies=ADAPTIVE, log_folder=None):
    """Run one scenario on a new fleet and return its `Outcome`."""
    with Fleet(scenario.declarations(), log_folder) as fleet:
        for engine in scenario.engines:
            fleet.start_target(
                engine.name,
                "drafts",
                engine.data_centre,
                *engine.flags,
                max_concurrent=MAX_CONCURRENT,
            )
        names = ("queue-order", "target-choice", "limits")
        flags = [
            f"--{name}={value}" for name, value in zip(names, policies, strict=True)
        ]
        for number in range(1, INSTANCES + 1):
            fleet.start_instance(f"e{number}", "a", *flags)
        fleet.list_instances()
        fleet.await_ready(fleet.publish())
        arrivals = plan_arrivals(scenario.streams(), scenario.seconds, scenario.seed)
        run = LoadRun([i.url for i in fleet.instances_by_id.values()], arrivals)
        cpu_started_at = time.process_time()
        started_at = time.monotonic()
        changes = [
            threading.Timer(at, change, (fleet, scenario))
            for at, change in CHANGES.get(scenario.change, ())
        ]
        warm_ledgers: dict = {}
        changes.append(
            threading.Timer(
                scenario.warm_seconds, record_ledgers, (fleet, warm_ledgers)
            )
        )
        for change in changes:
            change.start()
        samples = run.run()
        load_cpu_share = (time.process_time() - cpu_started_at) / (
            time.monotonic() - started_at
        )
        return measure(
            scenario, policies, arrivals, samples, fleet, load_cpu_share, warm_ledgers
        )


def record_ledgers(fleet, ledgers):
    """Store the current ledger of each target in `ledgers`."""
    ledgers |= {name: fleet.ledger(name) for name in fleet.targets_by_id}


def measure(scenario, policies, arrivals, samples, fleet, load_cpu_share, warm_ledgers):
    """Compute the `Outcome` of a run.

    Parameters
    ----------
    load_cpu_share : float
        CPU time of the load generator, as a share of the elapsed time.
    warm_ledgers : dict
        Ledger of each target at the end of the warm-up.
    """
    report = summarise(samples)
    ledgers = {name: fleet.ledger(name) for name in fleet.targets_by_id}
    good = [s for s in samples if s.good]
    window = [scenario.warm_seconds, scenario.seconds]
    span = window[1] - window[0]
    tiers = sorted({a.stream.tier for a in arrivals})
    measured = [s for s in samples if window[0] <= s.arrival.at < window[1]]
    lateness = sorted(s.started_at - s.arrival.at for s in samples)
    first_token_times = sorted(
        s.first_byte_at - s.started_at for s in measured if s.good
    ) or [0.0]
    delivered = {
        tier: sum(tokens_within(s, *window) for s in good if tier_of(s) == tier)
        for tier in tiers
    }
    prefilled = sum(ledger["prefilled"] for ledger in ledgers.values())
    return Outcome(
        scenario.name,
        policies,
        sum(delivered.values()) / span / scenario.capacity,
        {tier: tokens / span / scenario.capacity for tier, tokens in delivered.items()},
        [
            round(
                sum(tokens_within(s, second, second + 1) for s in good)
                / scenario.capacity,
                3,
            )
            for second in range(int(scenario.seconds))
        ],
        {t: sum(work_of(s) for s in measured if tier_of(s) == t) for t in tiers},
        {
            t: sum(work_of(s) for s in measured if s.good and tier_of(s) == t)
            for t in tiers
        },
        quantile(first_token_times, 0.5),
        quantile(first_token_times, 0.95),
        quantile(sorted(ideal_first_tokens(scenario, arrivals)), 0.95),
        quantile(lateness, 0.99),
        prefilled,
        wasted_prompt_tokens(measured),
        sum(ledger["abandoned_tokens"] for ledger in ledgers.values()),
        {
            name: len(ledger["requests"]) - len(warm_ledgers[name]["requests"])
            for name, ledger in ledgers.items()
        },
        {name: ledger["peak"] for name, ledger in ledgers.items()},
        {name: ledger["collapsed_steps"] for name, ledger in ledgers.items()},
        report.codes,
        load_cpu_share,
        max(ledger["processor_seconds"] for ledger in ledgers.values())
        / scenario.seconds,
        limits_of(fleet),
        {
            w: [
                sum(s.arrival.stream.workspace == w for s in measured if s.good),
                sum(s.arrival.stream.workspace == w for s in measured),
            ]
            for w in sorted({s.arrival.stream.workspace for s in samples})
        },
        {
            w: sum(
                s.tokens + s.prompt_tokens
                for s in samples
                if s.arrival.stream.workspace == w
            )
            for w in sorted({s.arrival.stream.workspace for s in samples})
        },
    )


def tier_of(sample):
    """Return the tier of a sample's workspace."""
    return sample.arrival.stream.tier


def tokens_within(sample, start, end):
    """Return the tokens of a complete response that arrived between two times.

    Assumes that the tokens arrived at a steady rate.
    """
    span = max(sample.ended_at - sample.first_byte_at, STEP_SECONDS)
    started_at = sample.ended_at - span
    overlap = min(sample.ended_at, end) - max(started_at, start)
    return work_of(sample) * max(0.0, overlap) / span


def work_of(sample):
    """Return the tokens of a sample, rounded up to whole engine steps."""
    return math.ceil(sample.arrival.tokens / TOKENS_PER_STEP) * TOKENS_PER_STEP


def quantile(ordered, fraction):
    """Return a quantile of a sorted list."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def limits_of(fleet):
    """Return the limits that the pool's coordinator has determined, by target."""
    for name in fleet.instances_by_id:
        pools = fleet.dump(name)["coordinators"]
        targets = pools.get("drafts", {}).get("targets", {})
        if any(target["limit"] > 1 for target in targets.values()):
            return {name: target["limit"] for name, target in targets.items()}
    return {}


def print_table(outcomes):
    """Print a table with one line per outcome."""
    head = "scenario       policies                         goodput top    first95"
    print(f"{head}  ideal   waste  late99 targets")
    for o in outcomes:
        asked = max(1, o.asked_tokens_by_tier.get(0, 0))
        top = o.good_tokens_by_tier.get(0, 0) / asked
        used = sum(count > 0 for count in o.requests_by_target.values())
        print(
            f"{o.scenario:14} {'/'.join(o.policies):32} {o.goodput:7.3f} {top:6.3f} "
            f"{o.first_token_p95:7.3f} {o.ideal_first_token_p95:7.3f} "
            f"{o.wasted_prefill:7d} {o.lateness_p99:7.3f} "
            f"{used:3d}"
        )


def main(
    *scenarios: str,
    policies: str = "/".join(ADAPTIVE),
    output: str = "bench-policies.json",
    plot: str | None = None,
):
    """Run scenarios under sets of policies and print a table.

    Parameters
    ----------
    scenarios
        Names of scenarios; all if none is given.
    policies
        Queue order, target choice and limits joined by slashes; several sets
        are joined by commas.
    output
        File for the figures as JSON.
    plot
        Image file for the goodput by second; needs matplotlib.
    """
    outcomes = []
    for name in scenarios or SCENARIOS:
        for chosen in policies.split(","):
            outcomes.append(run_scenario(SCENARIOS[name], tuple(chosen.split("/"))))
            print(json.dumps(asdict(outcomes[-1])), file=sys.stderr)
    print_table(outcomes)
    Path(output).write_text(json.dumps([asdict(o) for o in outcomes], indent=1))
    if plot:
        draw(outcomes, plot)


def draw(outcomes, file):
    """Plot the goodput per second of each outcome."""
    from matplotlib.figure import Figure

    axes = Figure(figsize=(8, 5)).subplots()
    for outcome in outcomes:
        label = f"{outcome.scenario} {'/'.join(outcome.policies)}"
        axes.plot(outcome.goodput_by_second, label=label)
    axes.set(xlabel="seconds", ylabel="goodput, part of the capacity")
    axes.legend(fontsize="small")
    axes.figure.savefig(file)


if __name__ == "__main__":
    defopt.run(main)
