"""Hypothesis profiles and the handling of known failures, for all tests."""

import os
from pathlib import Path

from hypothesis import HealthCheck, settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("soak", deadline=None, max_examples=2000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def _known_red():
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(" | ")[0].strip(): line for line in lines if line[:1] != "#"}


def pytest_collection_modifyitems(config, items):
    """Deselect exactly the tests that KNOWN-RED.txt lists as known failures."""
    known = _known_red()
    red = [item for item in items if item.nodeid in known]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]


def pytest_terminal_summary(terminalreporter):
    """List the deselected known failures in the summary."""
    for line in _known_red().values():
        if line:
            terminalreporter.write_line(f"known red: {line}")
