"""The ``check`` command."""

from ..declarations import load_declarations
from ..errors import DeclarationError

EXIT_INVALID = 2


def check(file: str):
    """Say what is wrong with a declared document.

    Parameters
    ----------
    file
        JSON or YAML file.
    """
    try:
        load_declarations(file)
    except DeclarationError as error:
        print("\n".join(error.problems))
        return EXIT_INVALID
    print(f"{file}: valid")
    return 0
