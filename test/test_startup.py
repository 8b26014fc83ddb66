"""What a gateway loads before it serves, and the program as it is deployed."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Libraries and parts of the program that a gateway does not use.
UNUSED_MODULES = (
    "almondglade.coordinator",
    "almondglade.declarations",
    "almondglade.peers",
    "defopt",
    "docutils",
    "grpclib",
    "numpy",
    "pygments",
    "rich",
    "yaml",
)


def run_without_settings(*arguments):
    """Start a gateway that ends as it has no settings; return what it wrote."""
    environment = {
        name: value
        for name, value in os.environ.items()
        if name != "ALMONDGLADE_CONFIG"
    }
    process = subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 1
    assert "ALMONDGLADE_CONFIG is not set" in process.stderr
    return process.stderr


LIST_MODULES = """
import atexit, sys
from almondglade.ui.main import main
atexit.register(lambda: print("modules:", *sys.modules, file=sys.stderr))
main(["gateway"])
"""


@pytest.fixture(scope="module")
def imported_modules():
    output = run_without_settings("-c", LIST_MODULES)
    return set(output.partition("modules:")[2].split())


# The parser of flags, documentation tools and a console renderer took a third of it.
@pytest.mark.parametrize("name", UNUSED_MODULES)
def test_a_start_without_flags_loads_nothing_unused(imported_modules, name):
    assert not {
        module
        for module in imported_modules
        if module == name or module.startswith(f"{name}.")
    }


def test_flags_of_a_service_are_still_read():
    run_without_settings("-m", "almondglade", "gateway", "--log-level", "warning")


# Without byte code, each start compiled the whole program.
def test_the_deployed_program_holds_its_byte_code(tmp_path):
    app = tmp_path / "app"
    subprocess.run(["sh", "deploy/build_app.sh", app], cwd=ROOT, check=True)
    sources = {file.relative_to(app) for file in app.rglob("*.py")}
    compiled = {
        file.relative_to(app).parent.parent / f"{file.name.partition('.')[0]}.py"
        for file in app.rglob("__pycache__/*.pyc")
    }
    assert compiled == sources
    run_without_settings(str(app), "gateway")
