"""Helpers of the coordinator's tests: a clock to set and short documents."""

import itertools

import numpy as np

from almondglade import messages as m
from almondglade.coordinator.core import Coordinator, Policies
from almondglade.declarations import parse_declarations

POOL = "drafts"


class FakeClock:
    """A clock that tests move."""

    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        """Return the time that was set."""
        return self.now


def declare(targets=("d1",), max_concurrent=8, queue_length=64, out=(), **allowance):
    """Return declarations with one pool; workspace ``wN`` is of tier N."""
    allowances = {POOL: {"concurrent": 1000} | allowance}
    tiers = range(4)
    return parse_declarations(
        repr(
            {
                "plans": {
                    f"p{t}": {"tier": t, "allowances": allowances} for t in tiers
                },
                "workspaces": {f"w{t}": {"plan": f"p{t}"} for t in tiers},
                "data_centres": {"in": {}, "away": {"state": "out"}},
                "services": {POOL: {"kind": "engine", "queue_length": queue_length}},
                "targets": {
                    name: {
                        "service": POOL,
                        "data_centre": "away" if name in out else "in",
                        "url": "http://127.0.0.1:1",
                        "max_concurrent": max_concurrent,
                    }
                    for name in targets
                },
            }
        ).encode()
    )


def make_coordinator(clock, declarations, name="A", limits="fixed", published=1):
    """Return a configured coordinator."""
    made = Coordinator(
        POOL, name, clock, np.random.default_rng(1), Policies(limits=limits)
    )
    made.set_published(published)
    made.configure(declarations)
    return made


_numbers = itertools.count(1)


def demand(tier=0, **fields):
    """Return a demand with an id of its own."""
    fields = {"request_id": f"r{next(_numbers)}"} | fields
    return m.Demand(pool=POOL, workspace=f"w{tier}", tier=tier, **fields)


def sent(coordinator, kind):
    """Return the messages of one kind that are due now."""
    return [a.message for a in coordinator.decide() if isinstance(a.message, kind)]
