"""Build the single binary: one file with all libraries, run in place.

pex is used with a boot through the shell, which replaces its own process by
the interpreter and leaves no child. PyInstaller's one-file form was ruled out
since it keeps a parent process.
"""

import subprocess
import sys
import tomllib
from pathlib import Path

OUTPUT = Path("dist/almondglade")
# Instances have no disks, so this is memory-backed there; PEX_ROOT overrides it.
UNPACK_FOLDER = "/tmp/.almondglade"


def runtime_requirements():
    """Return the locked versions of what the program itself needs."""
    from importlib.metadata import distribution

    project = tomllib.loads(Path("pyproject.toml").read_text())["project"]
    locked = {
        _normal(line.partition("==")[0]): line
        for line in Path("requirements.lock").read_text().splitlines()
    }
    wanted, found = [_name(item) for item in project["dependencies"]], {}
    while wanted:
        name = wanted.pop()
        if name in found or name not in locked:
            continue
        found[name] = locked[name]
        needs = distribution(name).requires or []
        wanted += [_name(item) for item in needs if "extra ==" not in item]
    return sorted(found.values())


def _name(requirement):
    end = next((i for i, c in enumerate(requirement) if c in " ;[<>=!~("), None)
    return _normal(requirement[:end])


def _normal(name):
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
