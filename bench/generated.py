"""Check that the committed generated code matches its definitions."""

import sys
import sysconfig
import tempfile
from pathlib import Path

PACKAGE = "almondglade/peers"
PLUGIN = "protoc-gen-grpclib_python"
SUFFIXES = ("_pb2.py", "_pb2.pyi", "_grpc.py")


def _script_path(name):
    """Return the path of a script of this environment, which may not be on PATH."""
    return Path(sysconfig.get_path("scripts"), name)


def differing_files():
    """Generate the code again and return the committed files that differ."""
    from grpc_tools import protoc

    with tempfile.TemporaryDirectory() as folder:
        outputs = ("python_out", "pyi_out", "grpclib_python_out")
        flags = [f"--{output}={folder}" for output in outputs]
        flags.append(f"--plugin={PLUGIN}={_script_path(PLUGIN)}")
        if protoc.main(["protoc", "-I.", *flags, f"{PACKAGE}/link.proto"]):
            raise SystemExit("the definitions cannot be compiled")
        return [
            name
            for suffix in SUFFIXES
            for name in [f"{PACKAGE}/link{suffix}"]
            if Path(name).read_text() != Path(folder, name).read_text()
        ]


if __name__ == "__main__":
    differing = differing_files()
    for name in differing:
        print(f"{name} does not match its definition")
    sys.exit(bool(differing))
