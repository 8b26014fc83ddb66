"""Scenarios of load, engines and changes for measuring the policies.

Steps are long and produce several tokens each, so that the figures reflect the
scheduling and not the CPU time of the stand-ins.
"""

import itertools
import math
from dataclasses import dataclass, field, replace

from almondglade.entry.callers import hash_key
from standin.engine import EngineProfile
from standin.load import Stream

STEP_SECONDS = 0.025
STEP_PER_SEQUENCE = 0.001
TOKENS_PER_STEP = 8
KNEE = 8
MIN_TOKENS, MAX_TOKENS = 8, 800
MEAN_TOKENS = (MAX_TOKENS - MIN_TOKENS) / math.log(MAX_TOKENS / MIN_TOKENS)
# An engine runs whole steps, on average half a step more than the tokens need.
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
# Share of each workspace in the load of its plan.
LOAD_SHARE_BY_WORKSPACE = {
    "large-a": 0.8,
    "small-a": 0.2,
    "large-b": 1.0,
    "large-c": 0.8,
    "small-c": 0.2,
}
# A tenth of the tokens that the large basic workspace requests at a load of 1.
PLAN_TOKENS_PER_MINUTE = 50_000.0
ADAPTIVE = ("tiered", "expected-finish", "adaptive")


@dataclass(frozen=True)
class EngineSpec:
    """A stand-in engine; at a speed of 0.25 steps and prefill take 4 times as long."""

    name: str
    data_centre: str
    speed: float = 1.0
    lag: float = 0.5
    cold_seconds: float = 0.0
    cache_tokens: int = 20_000

    @property
    def profile(self):
        """Profile of the engine, as its flags configure it."""
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
        """Command-line flags of the stand-in."""
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
        """Output tokens per second at the knee."""
        profile = self.profile
        return KNEE * TOKENS_PER_STEP / profile.step_time(KNEE)


HOMOGENEOUS = (
    EngineSpec("d1", "a"),
    EngineSpec("d2", "a"),
    EngineSpec("d3", "b"),
    EngineSpec("d4", "b"),
)
HETEROGENEOUS = (
    EngineSpec("d1", "a", 1.0, 0.5),
    EngineSpec("d2", "a", 0.25, 5.0),
    EngineSpec("d3", "b", 1.0, 2.0),
    EngineSpec("d4", "b", 0.25, 0.5),
)


@dataclass(frozen=True)
class Scenario:
    """A load on a set of engines.

    Parameters
    ----------
    load_by_plan : dict of str to float
        Offered tokens by plan, as multiples of the capacity.
    seconds : float
        Duration of the load.
    warm_seconds : float
        Initial part of the load that is not measured.
    warm_load, warm_pause : float
        Load during the warm-up if it differs (0 if not), as a multiple of the
        capacity, and the seconds without load at the end of the warm-up.
    resends : int
        Times that callers immediately repeat a failed request.
    """

    name: str
    load_by_plan: dict[str, float]
    engines: tuple[EngineSpec, ...] = HOMOGENEOUS
    seconds: float = 20.0
    warm_seconds: float = 10.0
    max_wait: float = 3.0
    prefixes: int = 8
    prefix_words: int = 20
    seed: int = 5
    allowances: dict = field(default_factory=dict)
    change: str = ""
    warm_load: float = 0.0
    warm_pause: float = 3.0
    resends: int = 0
    warm_up: float = 0.0

    @property
    def capacity(self):
        """Output tokens per second of all engines at their knees."""
        return sum(engine.capacity for engine in self.engines)

    def streams(self):
        """Return the streams of the warm-up load, if any, and of each workspace."""
        if not self.warm_load:
            return self._streams()
        share = self.warm_load / sum(self.load_by_plan.values())
        loads = {name: load * share for name, load in self.load_by_plan.items()}
        until = self.warm_seconds - self.warm_pause
        warm = replace(self, load_by_plan=loads)._streams()
        return [replace(stream, stop=until) for stream in warm] + [
            replace(stream, start=self.warm_seconds) for stream in self._streams()
        ]

    def _streams(self):
        return [
            Stream(
                workspace,
                f"key-{workspace}",
                TIERS[name],
                load * load_share * self.capacity / MEAN_WORK,
                "script-7b",
                min_tokens=MIN_TOKENS,
                max_tokens=MAX_TOKENS,
                prefixes=self.prefixes,
                prefix_words=self.prefix_words,
                resends=self.resends,
            )
            for workspace, name in PLAN_BY_WORKSPACE.items()
            if (load := self.load_by_plan.get(name, 0.0)) > 0
            for load_share in [LOAD_SHARE_BY_WORKSPACE[workspace]]
        ]

    def declarations(self):
        """Return the configuration document without targets."""
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
                name: {"plan": plan, "keys": [hash_key(f"key-{name}")]}
                for name, plan in PLAN_BY_WORKSPACE.items()
            },
            "data_centres": {engine.data_centre: {} for engine in self.engines},
            "services": {
                "drafts": {
                    "kind": "engine",
                    "models": ["script-7b"],
                    "max_wait": self.max_wait,
                    "warm_up": self.warm_up,
                }
            },
        }


def overload(times, top=0.5, engines=HOMOGENEOUS):
    """Return an overload scenario in which the top tier has a load of `top`.

    Both `times` and `top` are multiples of the capacity; the other two tiers share
    the rest equally.
    """
    rest = times - top
    loads = {"gold": top, "silver": rest / 2, "basic": rest / 2}
    return Scenario(f"overload-{times:g}x", loads, engines)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        overload(2),
        overload(5, 0.8),
        # Fewer engines, so that neither the load generator nor the instances are the
        # bottleneck.
        overload(10, 0.8, HOMOGENEOUS[:2]),
        # Longer steps, so that the latency of the request path matters little.
        Scenario(
            "steady-70",
            {"gold": 0.35, "basic": 0.35},
            tuple(replace(engine, speed=0.4) for engine in HOMOGENEOUS),
            seconds=30.0,
            warm_seconds=18.0,
        ),
        Scenario(
            "low-10",
            {"gold": 0.05, "basic": 0.05},
            seconds=24.0,
            warm_seconds=14.0,
            warm_load=0.7,
        ),
        replace(
            overload(1.5, 0.5, HETEROGENEOUS),
            name="unlike",
            seconds=36.0,
            warm_seconds=26.0,
        ),
        Scenario(
            "data-centre",
            {"gold": 0.5, "silver": 0.5, "basic": 0.5},
            seconds=24.0,
            change="data-centre",
        ),
        Scenario(
            "restart",
            {"gold": 0.3, "basic": 0.9},
            tuple(replace(engine, cold_seconds=5.0) for engine in HOMOGENEOUS),
            change="restart",
            warm_up=5.0,
        ),
        Scenario(
            "resends",
            {"gold": 0.3, "basic": 0.4},
            warm_load=3.0,
            warm_pause=0.0,
            resends=3,
        ),
        Scenario("plan-without", {"gold": 0.3, "silver": 0.3}),
        Scenario(
            "plan-10x",
            {"gold": 0.3, "silver": 0.3, "basic": 1.0},
            allowances={"basic": {"tokens_per_minute": PLAN_TOKENS_PER_MINUTE}},
        ),
        Scenario(
            "prefix",
            {"gold": 0.35, "basic": 0.35},
            tuple(replace(engine, cache_tokens=8000) for engine in HOMOGENEOUS),
            prefixes=16,
            prefix_words=100,
        ),
    )
}
