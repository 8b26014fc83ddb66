"""Read and validate a declared document, and report every problem in it."""

import json
from collections import Counter
from collections.abc import Hashable
from pathlib import Path

import yaml
from pydantic import ValidationError

from ..errors import DeclarationError
from .models import Declarations


def load_declarations(path):
    """Read and validate a document from a file.

    Parameters
    ----------
    path : str or Path
        JSON or YAML file.

    Raises
    ------
    DeclarationError
        If the file cannot be read or the document is invalid.
    """
    try:
        document = Path(path).read_bytes()
    except OSError as error:
        raise DeclarationError([f"{path}: {error.strerror}"]) from error
    return parse_declarations(document)


def parse_declarations(document):
    """Validate a document.

    Parameters
    ----------
    document : bytes
        JSON or YAML text in UTF-8.

    Returns
    -------
    Declarations
        The validated document.

    Raises
    ------
    DeclarationError
        If the document is invalid; contains every problem with its path.
    """
    try:
        raw = _parse(document)
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError, ValueError) as error:
        raise DeclarationError([f"document: {_one_line(error)}"]) from error
    if not isinstance(raw, dict):
        raise DeclarationError(["document: must be a mapping at the top level"])
    try:
        return Declarations.model_validate(raw)
    except ValidationError as error:
        raise DeclarationError(_problems(error)) from error


def _parse(document):
    try:
        # JSON is nearly a subset of YAML, and its parser is many times faster.
        return json.loads(document, object_pairs_hook=_mapping_with_unique_keys)
    except json.JSONDecodeError:
        return yaml.load(document, Loader=_UniqueKeyLoader)


def _mapping_with_unique_keys(pairs):
    mapping = dict(pairs)
    if len(mapping) < len(pairs):
        repeated = _repeated_keys(key for key, _ in pairs)
        raise ValueError(f"key {min(repeated)!r} is repeated")
    return mapping


def _repeated_keys(keys):
    return {str(key) for key, count in Counter(keys).items() if count > 1}


def _problems(error):
    return [
        line if not item["loc"] else f"{'.'.join(map(str, item['loc']))}: {line}"
        for item in error.errors(include_url=False)
        for line in item["msg"].splitlines()
    ]


def _one_line(error):
    return " ".join(str(error).split())


class _UniqueKeyLoader(yaml.CSafeLoader):
    """Rejects repeated keys, of which YAML would silently use the last value."""

    def construct_mapping(self, node, deep=False):
        keys = [self.construct_object(key, deep=deep) for key, _ in node.value]
        repeated = _repeated_keys(key for key in keys if isinstance(key, Hashable))
        if repeated:
            raise yaml.constructor.ConstructorError(
                None, None, f"key {min(repeated)!r} is repeated", node.start_mark
            )
        return super().construct_mapping(node, deep)
