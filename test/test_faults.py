"""Guarantees to callers under pairs of faults, with real processes."""

import os

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bench.faults import FaultFleet

FAULTS = [
    "kill_instance",
    "stop_instance",
    "freeze_instance",
    "kill_target",
    "crash_engines",
    "platform_down",
    "centre_out",
    "wrong_document",
]
# Longer than the time allowed for dispatches to an evacuated data centre to stop.
FAULT_SECONDS = 5.0
EXAMPLES = int(os.environ.get("ALMONDGLADE_SOAK_EXAMPLES", "8"))


@pytest.fixture(scope="module")
def faults(tmp_path_factory):
    with FaultFleet(tmp_path_factory.mktemp("faults")) as faults:
        yield faults


@settings(
    max_examples=EXAMPLES,
    suppress_health_check=list(HealthCheck),
    report_multiple_bugs=False,
)
@given(pair=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=2, unique=True))
def test_promises_hold_under_pairs_of_faults(faults, pair):
    faults.play(pair, FAULT_SECONDS)
    assert faults.violations() == []
