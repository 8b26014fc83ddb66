"""The ``check`` command."""

from pathlib import Path
from typing import Literal

from ..configcheck.drafts import Intent
from ..declarations import load_declarations
from ..declarations.changes import changes_between, warnings_of
from ..errors import DeclarationError
from .services import SERVICES

EXIT_INVALID = 2
DEPLOY_SUFFIX = ".toml"


Kind = Literal["auto", "document", "deploy", "configuration"]


def check(
    file: str,
    *,
    against: str | None = None,
    kind: Kind = "auto",
    json: bool = False,
    strict: bool = False,
    retry_share: float = 0.0,
    hedge_share: float = 0.0,
):
    """Say what is wrong with a file of the operator and what it will change.

    Exits with 0 if the file is valid, with 2 if it is not. A warning does not make it
    invalid; with --strict, warnings about a configuration exit with 1.

    Parameters
    ----------
    file
        JSON or YAML file with a declared document, a platform's deploy file (TOML) or
        its configuration (JSON).
    against
        The file in force now, or for a configuration also the URL of the store that
        publishes it; prints what the new one changes.
    kind
        What the file is; by default its name and content tell.
    json
        Print the report about a configuration as JSON.
    strict
        Exit with 1 if there are warnings about a configuration.
    retry_share
        Retries per request that the deployment allows; a configuration that has no
        use for them is warned of.
    hedge_share
        Hedged requests per request, likewise.
    """
    if kind == "auto":
        kind = _kind_of(file)
    if kind == "deploy":
        return _check_deploy_file(file)
    if kind == "configuration":
        from .configuration import check_configuration

        if not all(0.0 <= share <= 1.0 for share in (retry_share, hedge_share)):
            print("--retry-share and --hedge-share must be from 0 to 1")
            return EXIT_INVALID
        intent = Intent(retry_share, hedge_share)
        return check_configuration(file, against, intent, strict=strict, as_json=json)
    try:
        declarations = load_declarations(file)
        old = load_declarations(against) if against else None
    except DeclarationError as error:
        print("\n".join(error.problems))
        return EXIT_INVALID
    for warning in sorted(warnings_of(declarations)):
        print(f"warning: {warning}")
    if old is not None:
        for change in changes_between(old, declarations):
            print(change)
    print(f"{file}: valid")
    return 0


def _kind_of(file):
    if Path(file).suffix == DEPLOY_SUFFIX:
        return "deploy"
    from ..platform.draftreader import looks_like_configuration

    return "configuration" if looks_like_configuration(file) else "document"


def _check_deploy_file(file):
    from ..platform.deployfile import check_deploy_file

    try:
        check_deploy_file(file, SERVICES)
    except DeclarationError as error:
        print("\n".join(error.problems))
        return EXIT_INVALID
    print(f"{file}: valid")
    return 0
