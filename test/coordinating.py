"""Helpers of the coordinator's tests: a fake clock, short documents and demands."""

import itertools

import numpy as np

from almondglade import messages as m
from almondglade.coordinator.core import Coordinator, Policies
from almondglade.declarations import parse_declarations

POOL = "drafts"


class FakeClock:
    """A clock that tests advance by hand."""

    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        """Return the time that was set, in seconds."""
        return self.now


def declare(targets=("d1",), max_concurrent=8, queue_length=64, out=(), **allowance):
    """Return declarations with one pool, where workspace ``wN`` has tier N.

    Parameters
    ----------
    out : collection of str
        Targets in a data centre that is out of service.
    **allowance
        Fields of each workspace's allowance in the pool.
    """
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
    coordinator = Coordinator(
        POOL, name, clock, np.random.default_rng(1), Policies(limits=limits)
    )
    coordinator.set_published(published)
    coordinator.configure(declarations)
    return coordinator


_numbers = itertools.count(1)


def demand(tier=0, **fields):
    """Return a demand with a unique request id."""
    fields = {"request_id": f"r{next(_numbers)}"} | fields
    return m.Demand(pool=POOL, workspace=f"w{tier}", tier=tier, **fields)


def sent(coordinator, message_class):
    """Return the messages of one class that the coordinator sends now."""
    return [
        a.message for a in coordinator.decide() if isinstance(a.message, message_class)
    ]
