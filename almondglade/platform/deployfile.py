"""Check the deploy file, which tells the platform how to build and run gateways."""

import re
import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import DeclarationError
from ..gateway.settings import METRICS_PORT

# From the repository, and from the folder that `deploy/build_app.sh` makes.
PROGRAM_COMMANDS = (["python3", "-m", "almondglade"], ["python3", "target/app"])
# Traffic classes from outside that a role may serve: requests of callers, and messages
# of peers.
CALLER_TRAFFIC = "edge"
PEER_TRAFFIC = "control_plane"
METRICS_PATTERN = re.compile(r"([0-9]{1,5})/([A-Za-z0-9/_-]+)")
METRICS_PORT_FLAG = "--metrics-port"
HEDGE_SHARE_FLAG = "--hedge-share"
HEDGE_SHARE_PATTERN = re.compile(r"0?\.[0-9]+|0|1(\.0*)?|0\.")


class _Role(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    run: str
    on: str
    share: float | None = Field(None, gt=0.0, le=1.0)
    count: int | None = Field(None, ge=1)
    apart: bool = False
    serves: list[str] = []
    metrics: str | None = None
    template: str | None = None
    env: dict[str, str] = {}


class _File(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    build: str = Field(min_length=1)
    packages: list[str] = []
    roles: dict[str, _Role] = Field(min_length=1)


def check_deploy_file(path, commands):
    """Check a deploy file for errors and against the commands of the program.

    Parameters
    ----------
    path : str or Path
        TOML file.
    commands : iterable of str
        Commands of the program that a role may run.

    Raises
    ------
    DeclarationError
        With all problems, each with its place in the file.
    """
    try:
        parsed = _File.model_validate(tomllib.loads(Path(path).read_text()))
    except OSError as error:
        raise DeclarationError([f"{path}: {error.strerror}"]) from error
    except tomllib.TOMLDecodeError as error:
        raise DeclarationError([f"{path}: {error}"]) from error
    except ValidationError as error:
        raise DeclarationError(
            [
                f"{'.'.join(map(str, entry['loc']))}: {entry['msg']}"
                for entry in error.errors()
            ]
        ) from error
    problems = [
        f"roles.{name}: {problem}"
        for name, role in parsed.roles.items()
        for problem in _role_problems(role, set(commands), Path(path).parent.parent)
    ]
    if not any(CALLER_TRAFFIC in role.serves for role in parsed.roles.values()):
        problems.append(f"roles: none serves {CALLER_TRAFFIC}, so callers reach nobody")
    if not any(PEER_TRAFFIC in role.serves for role in parsed.roles.values()):
        problems.append(
            f"roles: none serves {PEER_TRAFFIC}, so instances find no peers"
        )
    if problems:
        raise DeclarationError(problems)


def _role_problems(role, commands, root):
    words = role.run.split()
    program = next(
        (program for program in PROGRAM_COMMANDS if words[: len(program)] == program),
        None,
    )
    if program is None:
        yield f"run must begin with {' or '.join(map(' '.join, PROGRAM_COMMANDS))}"
    elif not commands & set(words[len(program) : len(program) + 1]):
        yield f"run names no command of the program: {role.run}"
    if (role.share is None) == (role.count is None):
        yield "either share or count is needed"
    if HEDGE_SHARE_FLAG in words:
        share = next(iter(words[words.index(HEDGE_SHARE_FLAG) + 1 :]), "")
        if not HEDGE_SHARE_PATTERN.fullmatch(share):
            yield f"{HEDGE_SHARE_FLAG} is not from 0 to 1: {share}"
    if role.metrics is not None:
        yield from _metrics_problems(role.metrics, words)
    if role.template is not None and not (root / role.template).is_file():
        yield f"the template {role.template} does not exist"


def _metrics_problems(metrics, words):
    match = METRICS_PATTERN.fullmatch(metrics)
    if match is None:
        yield f"metrics is not PORT/PATH: {metrics}"
        return
    served = str(METRICS_PORT)
    if METRICS_PORT_FLAG in words[:-1]:
        served = words[words.index(METRICS_PORT_FLAG) + 1]
    if match[1] != served:
        yield f"metrics names port {match[1]}, the program serves {served}"
