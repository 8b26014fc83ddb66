"""Build the single-file binary, which contains all libraries.

Uses pex with its shell boot script, which replaces its own process by the
interpreter (exec), so no child process remains. PyInstaller's one-file mode is
unsuitable because its launcher stays as a parent process.
"""

import subprocess
import sys
import tomllib
from pathlib import Path

OUTPUT = Path("dist/almondglade")
# Memory-backed on instances, which have no disks; PEX_ROOT overrides it.
UNPACK_FOLDER = "/tmp/.almondglade"


def runtime_requirements():
    """Return the locked requirements of the program, without development tools."""
    from importlib.metadata import distribution

    project = tomllib.loads(Path("pyproject.toml").read_text())["project"]
    locked = {
        _normalise(line.partition("==")[0]): line
        for line in Path("requirements.lock").read_text().splitlines()
    }
    pending, found = [_requirement_name(item) for item in project["dependencies"]], {}
    while pending:
        name = pending.pop()
        if name in found or name not in locked:
            continue
        found[name] = locked[name]
        needs = distribution(name).requires or []
        pending += [_requirement_name(item) for item in needs if "extra ==" not in item]
    return sorted(found.values())


def _requirement_name(requirement):
    end = next((i for i, c in enumerate(requirement) if c in " ;[<>=!~("), None)
    return _normalise(requirement[:end])


def _normalise(name):
    return name.strip().lower().replace("_", "-").replace(".", "-")


def build():
    """Build the binary and return its path."""
    OUTPUT.parent.mkdir(exist_ok=True)
    subprocess.run(
        [
            *(sys.executable, "-m", "pex", ".", *runtime_requirements()),
            *("--console-script", "almondglade", "--output-file", str(OUTPUT)),
            *("--venv", "--sh-boot", "--runtime-pex-root", UNPACK_FOLDER),
        ],
        check=True,
    )
    return OUTPUT


if __name__ == "__main__":
    print(build())
