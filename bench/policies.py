"""Measure the decisions against stand-ins, with selectable policies.

Each measure is a ratio to an ideal worked out from the known profiles of the
stand-ins, or to a baseline in the same run. Steps are long and give several
tokens each, so that the figures speak of the scheduling and not of the
processor time of the stand-ins, which is reported beside them.
"""

import itertools
import json
import math
import sys
import time
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path

import defopt

from almondglade.entry.callers import hash_key
from standin.engine import EngineProfile
from standin.load import LoadRun, Stream, plan, summarise

from .fleet import Fleet

STEP_SECONDS = 0.025
STEP_PER_SEQUENCE = 0.001
TOKENS_PER_STEP = 8
KNEE = 8
MIN_TOKENS, MAX_TOKENS = 8, 800
MEAN_TOKENS = (MAX_TOKENS - MIN_TOKENS) / math.log(MAX_TOKENS / MIN_TOKENS)
# An engine spends whole steps, half of one more than needed on average.
MEAN_WORK = MEAN_TOKENS + TOKENS_PER_STEP / 2
MAX_CONCURRENT = 32
INSTANCES = 3
TIERS = {"gold": 0, "silver": 1, "basic": 2}
PLAN_BY_WORKSPACE = {
    "large-a": "gold",
    "small-a": "gold",
    "large-b": "silver",
    "large-c": "basic",
    "small-c": "basic",
}
# Each workspace's part of its plan's load.
PART_BY_WORKSPACE = {
    "large-a": 0.8,
    "small-a": 0.2,
    "large-b": 1.0,
    "large-c": 0.8,
    "small-c": 0.2,
}
ADAPTIVE = ("tiered", "expected-finish", "adaptive")


@dataclass(frozen=True)
class EngineSpec:
    """A stand-in engine; a speed of 0.25 makes every time four times longer."""

    name: str
    data_centre: str
    speed: float = 1.0
    lag: float = 0.5
    cold_seconds: float = 0.0
    cache_tokens: int = 20_000

    @property
    def profile(self):
        """The engine's known profile."""
        return EngineProfile(
            step=STEP_SECONDS / self.speed,
            step_per_sequence=STEP_PER_SEQUENCE / self.speed,
            cache_tokens=self.cache_tokens,
            tokens_per_step=TOKENS_PER_STEP,
            prefill_per_token=0.00005 / self.speed,
            cold_seconds=self.cold_seconds,
            knee=KNEE,
        )

    @property
    def flags(self):
        """Flags of the stand-in's command."""
        profile = self.profile
        values = {
            "step": profile.step,
            "step-per-sequence": profile.step_per_sequence,
            "prefill-per-token": profile.prefill_per_token,
            "cache-tokens": profile.cache_tokens,
            "tokens-per-step": profile.tokens_per_step,
            "knee": profile.knee,
            "cold-seconds": profile.cold_seconds,
            "lag": self.lag,
        }
        return itertools.chain.from_iterable(
            (f"--{name}", str(value)) for name, value in values.items()
        )

    @property
    def capacity(self):
        """Output tokens a second at the knee."""
        profile = self.profile
        return KNEE * TOKENS_PER_STEP / profile.step_time(KNEE)


EQUAL = (
    EngineSpec("d1", "a"),
    EngineSpec("d2", "a"),
    EngineSpec("d3", "b"),
    EngineSpec("d4", "b"),
)
UNLIKE = (
    EngineSpec("d1", "a", 1.0, 0.5),
    EngineSpec("d2", "a", 0.25, 5.0),
    EngineSpec("d3", "b", 1.0, 2.0),
    EngineSpec("d4", "b", 0.25, 0.5),
)


@dataclass(frozen=True)
class Scenario:
    """One load on one set of engines.

    Parameters
    ----------
    load_by_plan : dict of str to float
        Offered tokens, as multiples of the capacity.
    seconds : float
        Length of the load.
    warm_seconds : float
        Start of the load that is not measured.
    """

    name: str
    load_by_plan: dict[str, float]
    engines: tuple[EngineSpec, ...] = EQUAL
    seconds: float = 20.0
    warm_seconds: float = 10.0
    max_wait: float = 3.0
    prefixes: int = 8
    prefix_words: int = 20
    seed: int = 5
    allowances: dict = field(default_factory=dict)
    change: str = ""

    @property
    def capacity(self):
        """Output tokens a second of all engines at their knees."""
        return sum(engine.capacity for engine in self.engines)

    def streams(self):
        """Return the load of each workspace."""
        return [
            Stream(
                workspace,
                f"key-{workspace}",
                TIERS[name],
                share * part * self.capacity / MEAN_WORK,
                "script-7b",
                min_tokens=MIN_TOKENS,
                max_tokens=MAX_TOKENS,
                prefixes=self.prefixes,
                prefix_words=self.prefix_words,
            )
            for workspace, name in PLAN_BY_WORKSPACE.items()
            if (share := self.load_by_plan.get(name, 0.0)) > 0
            for part in [PART_BY_WORKSPACE[workspace]]
        ]

    def declarations(self):
        """Return the declared document without targets."""
        draft = {"concurrent": 1000}
        return {
            "plans": {
                name: {
                    "tier": tier,
                    "allowances": {"drafts": draft | self.allowances.get(name, {})},
                }
                for name, tier in TIERS.items()
            },
            "workspaces": {
                name: {"plan": held, "keys": [hash_key(f"key-{name}")]}
                for name, held in PLAN_BY_WORKSPACE.items()
            },
            "data_centres": {engine.data_centre: {} for engine in self.engines},
            "services": {
                "drafts": {
                    "kind": "engine",
                    "models": ["script-7b"],
                    "max_wait": self.max_wait,
                }
            },
        }


@dataclass
class Outcome:
    """What one scenario gave under one set of policies."""

    scenario: str
    policies: tuple[str, str, str]
    goodput: float
    goodput_by_tier: dict[int, float]
    goodput_by_second: list[float]
    asked_tokens_by_tier: dict[int, int]
    good_tokens_by_tier: dict[int, int]
    first_token_p50: float
    first_token_p95: float
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


def run_scenario(scenario, policies=ADAPTIVE, log_folder=None):
    """Run one scenario against a fresh fleet and return its `Outcome`."""
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
        arrivals = plan(scenario.streams(), scenario.seconds, scenario.seed)
        run = LoadRun([i.url for i in fleet.instances_by_id.values()], arrivals)
        worked = time.process_time()
        began = time.monotonic()
        samples = run.run()
        worked = (time.process_time() - worked) / (time.monotonic() - began)
        return measure(scenario, policies, arrivals, samples, fleet, worked)


def measure(scenario, policies, arrivals, samples, fleet, worked):
    """Work the samples into an `Outcome`."""
    report = summarise(samples)
    ledgers = {name: fleet.ledger(name) for name in fleet.targets_by_id}
    good = [s for s in samples if s.good]
    window = [scenario.warm_seconds, scenario.seconds]
    span = window[1] - window[0]
    tiers = sorted({a.stream.tier for a in arrivals})
    measured = [s for s in samples if window[0] <= s.arrival.at < window[1]]
    late = sorted(s.started - s.arrival.at for s in samples)
    firsts = sorted(s.first - s.started for s in measured if s.good) or [0.0]
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
        quantile(firsts, 0.5),
        quantile(firsts, 0.95),
        quantile(late, 0.99),
        prefilled,
        prefilled - needed_prefill(good),
        sum(ledger["abandoned_tokens"] for ledger in ledgers.values()),
        {name: len(ledger["requests"]) for name, ledger in ledgers.items()},
        {name: ledger["peak"] for name, ledger in ledgers.items()},
        {name: ledger["collapsed_steps"] for name, ledger in ledgers.items()},
        report.codes,
        worked,
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
    )


def tier_of(sample):
    """Return the tier of a sample's caller."""
    return sample.arrival.stream.tier


def tokens_within(sample, start, end):
    """Return the tokens of a whole answer that arrived within a span."""
    span = max(sample.ended - sample.first, STEP_SECONDS)
    began = sample.ended - span
    overlap = min(sample.ended, end) - max(began, start)
    return work_of(sample) * max(0.0, overlap) / span


def work_of(sample):
    """Return the tokens that a sample's engine spent in whole steps."""
    return math.ceil(sample.arrival.tokens / TOKENS_PER_STEP) * TOKENS_PER_STEP


def quantile(ordered, part):
    """Return a quantile of a sorted list."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def needed_prefill(good):
    """Return the prompt tokens that had to be computed once at the least."""
    longest = {}
    for sample in good:
        key = (sample.arrival.stream.workspace, sample.arrival.prefix)
        longest.setdefault(key, []).append(sample)
    needed = 0
    for group in longest.values():
        shared = max(s.cached_tokens for s in group)
        needed += shared + sum(s.prompt_tokens - shared for s in group)
    return needed


def limits_of(fleet):
    """Return the limits learnt by the pool's coordinator."""
    for name in fleet.instances_by_id:
        pools = fleet.dump(name)["coordinators"]
        targets = pools.get("drafts", {}).get("targets", {})
        if any(target["limit"] > 1 for target in targets.values()):
            return {name: target["limit"] for name, target in targets.items()}
    return {}


def overload(times, top=0.5, engines=EQUAL):
    """Return a scenario of an overload in which the top tier asks a part."""
    rest = times - top
    loads = {"gold": top, "silver": rest / 2, "basic": rest / 2}
    return Scenario(f"overload-{times:g}x", loads, engines)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        overload(2),
        overload(5, 0.8),
        overload(10, 0.8),
        Scenario("steady-70", {"gold": 0.35, "basic": 0.35}),
        Scenario("low-10", {"gold": 0.05, "basic": 0.05}),
        replace(overload(1.5, 0.5, UNLIKE), name="unlike"),
        Scenario(
            "prefix",
            {"gold": 0.35, "basic": 0.35},
            tuple(replace(engine, cache_tokens=8000) for engine in EQUAL),
            prefixes=16,
            prefix_words=100,
        ),
    )
}


def print_table(outcomes):
    """Print one line for each outcome."""
    head = "scenario       policies                         goodput top    first95"
    print(f"{head}  waste   late99 targets")
    for o in outcomes:
        asked = max(1, o.asked_tokens_by_tier.get(0, 0))
        top = o.good_tokens_by_tier.get(0, 0) / asked
        used = sum(count > 0 for count in o.requests_by_target.values())
        print(
            f"{o.scenario:14} {'/'.join(o.policies):32} {o.goodput:7.3f} {top:6.3f} "
            f"{o.first_token_p95:7.3f} {o.wasted_prefill:7d} {o.lateness_p99:7.3f} "
            f"{used:3d}"
        )


def main(
    *scenarios: str,
    policies: str = "/".join(ADAPTIVE),
    output: str = "bench-policies.json",
):
    """Run scenarios under sets of policies and print a table.

    Parameters
    ----------
    scenarios
        Names; all when none is given.
    policies
        Queue order, target choice and limits joined by slashes; several sets
        are joined by commas.
    output
        File for the figures as JSON.
    """
    outcomes = []
    for name in scenarios or SCENARIOS:
        for chosen in policies.split(","):
            outcomes.append(run_scenario(SCENARIOS[name], tuple(chosen.split("/"))))
            print(json.dumps(asdict(outcomes[-1])), file=sys.stderr)
    print_table(outcomes)
    Path(output).write_text(json.dumps([asdict(o) for o in outcomes], indent=1))


if __name__ == "__main__":
    defopt.run(main)
