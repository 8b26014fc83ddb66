"""The ``check`` command."""

from pathlib import Path

from ..declarations import load_declarations
from ..declarations.changes import changes_between, warnings_of
from ..errors import DeclarationError
from .services import SERVICES

EXIT_INVALID = 2
DEPLOY_SUFFIX = ".toml"


def check(file: str, *, against: str | None = None):
    """Say what is wrong with a declared document and what it will change.

    Exits with 0 if the document is valid, with 2 if it is not. A warning does
    not make a document invalid.

    Parameters
    ----------
    file
        JSON or YAML file; a TOML file is checked as a platform's deploy file.
    against
        The file in force now; prints what the new one changes.
    """
    if Path(file).suffix == DEPLOY_SUFFIX:
        return _check_deploy_file(file)
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


def _check_deploy_file(file):
    from ..platform.deployfile import check_deploy_file

    try:
        check_deploy_file(file, SERVICES)
    except DeclarationError as error:
        print("\n".join(error.problems))
        return EXIT_INVALID
    print(f"{file}: valid")
    return 0
