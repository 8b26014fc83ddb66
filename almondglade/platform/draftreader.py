"""Read a configuration strictly, as its operator wrote it, and keep the places.

A gateway takes more than this reader does, such as numbers written as text.
"""

import hashlib
import json
import re
from dataclasses import replace
from pathlib import Path

import orjson
from pydantic import ValidationError

from ..configcheck.drafts import (
    Draft,
    Finding,
    KeyEntry,
    RouteEntry,
    ServiceEntry,
    Severity,
    WorkspaceEntry,
)
from ..errors import PlatformError
from .connection import StoreConnection
from .draftmodels import KNOWN_FIELDS, StrictDocument
from .wire import CONFIGURATION_KEY, IDEMPOTENT, STREAMING, decode_value

URL_PREFIX = "http://"
NON_IDEMPOTENT = "non_idempotent"
ROUTE_TYPES = frozenset({STREAMING, IDEMPOTENT, NON_IDEMPOTENT})
# Four times the largest value of the platform's store, bytes.
MAX_FILE_BYTES = 1 << 22
# Fields and list items; a value of the store has room for fewer keys.
MAX_VALUES = 100_000
# Fields that only a configuration of the platform has, or only a declared document.
CONFIGURATION_FIELDS = re.compile(
    rb'"(routes|tenants|pathPrefix|routeType|apiKeys)"\s*:'
)
DECLARATION_FIELDS = re.compile(rb'"(plans|workspaces|data_centres|targets)"\s*:')

# Fields by the attributes of the product's types, where their names differ.
FIELD_BY_TERM = {
    "type": "routeType",
    "split": "trafficSplit",
    "path_prefix": "pathPrefix",
    "timeout": "timeoutMs",
    "gap_objective": "gapTargetMs",
    "max_attempts": "maxAttempts",
    "rate": "ratePerS",
    "header_timeout": "headerTimeoutMs",
    "max_header_bytes": "maxHeaderBytes",
}

MODEL_ERROR = "model_type"


def looks_like_configuration(path):
    """Return whether a file is meant as a configuration of the platform.

    Parameters
    ----------
    path : str or Path
        Any file; also one that cannot be read.
    """
    try:
        document = _read_start(path)
    except OSError:
        return False
    return (
        document.lstrip()[:1] == b"{"
        and CONFIGURATION_FIELDS.search(document) is not None
        and DECLARATION_FIELDS.search(document) is None
    )


def read_draft(source):
    """Read a configuration from a file or from the platform's store.

    Parameters
    ----------
    source : str
        JSON file, or URL of the store.

    Returns
    -------
    draft : Draft or None
        None if there are errors.
    findings : list of Finding
        Errors of the file's form, each with its place.
    """
    try:
        document = (
            _read_published(source)
            if source.startswith(URL_PREFIX)
            else _read_start(source)
        )
    except OSError as error:
        return None, [_error("", f"cannot be read: {error.strerror}")]
    except PlatformError as error:
        return None, [_error("", f"cannot be read: {error}")]
    if len(document) > MAX_FILE_BYTES:
        return None, [_error("", f"is larger than {MAX_FILE_BYTES} bytes")]
    try:
        # As a gateway reads it; the second reader tells which fields are repeated.
        orjson.loads(document)
        raw = json.loads(document, object_pairs_hook=_Object)
    except RecursionError:
        return None, [_error("", "is nested too deeply")]
    except ValueError as error:
        return None, [_error("", f"is not valid JSON: {error}")]
    containers = list(_containers(raw))
    if sum(len(value) for _, value in containers) > MAX_VALUES:
        return None, [_error("", f"has more than {MAX_VALUES} values")]
    findings = [
        _error(place, "a field stands twice in this object")
        for place, value in containers
        if isinstance(value, _Object) and value.is_repeated
    ]
    try:
        parsed = StrictDocument.model_validate(raw, strict=True)
    except ValidationError as error:
        return None, findings + _form_findings(error)
    return (None, findings) if findings else (_draft_of(parsed), [])


def locate(finding):
    """Return a finding whose place names the field instead of the product's term."""
    if not finding.term:
        return finding
    name = FIELD_BY_TERM.get(finding.term, finding.term)
    return replace(finding, place=f"{finding.place}.{name}", term="")


class _Object(dict):
    """An object of the file that knows which fields stand in it twice."""

    def __init__(self, pairs):
        super().__init__(pairs)
        self.is_repeated = len(self) < len(pairs)


def _read_start(path):
    with Path(path).open("rb") as file:
        return file.read(MAX_FILE_BYTES + 1)


def _read_published(url):
    item = StoreConnection(url).read_item(CONFIGURATION_KEY)
    if item is None:
        raise PlatformError("the store has no configuration")
    return decode_value(item)


def _draft_of(parsed):
    return Draft(
        parsed.version,
        tuple(
            RouteEntry(
                place,
                entry.decode(),
                entry.shares(place),
                entry.route_type in ROUTE_TYPES,
                entry.service is not None and entry.traffic_split is not None,
            )
            for place, entry in _placed("routes", parsed.routes)
        ),
        tuple(
            ServiceEntry(place, entry.decode())
            for place, entry in _placed("services", parsed.services)
        ),
        tuple(
            WorkspaceEntry(place, entry.decode(), _key_entries(place, entry.api_keys))
            for place, entry in _placed("tenants", parsed.tenants or ())
        ),
        parsed.tenants is not None,
        parsed.limits.entry(),
    )


def _placed(name, entries):
    return ((f"{name}[{index}]", entry) for index, entry in enumerate(entries))


def _key_entries(place, keys):
    return tuple(
        KeyEntry(key_place, hashlib.sha256(key.encode()).hexdigest())
        for key_place, key in _placed(f"{place}.apiKeys", keys)
    )


def _containers(raw):
    # Other fields are not named: one may be a key that was written in the wrong place.
    pending = [("", raw)]
    while pending:
        place, value = pending.pop()
        if isinstance(value, dict):
            children = (
                (f"{place}.{name if name in KNOWN_FIELDS else '?'}".lstrip("."), child)
                for name, child in value.items()
            )
        elif isinstance(value, list):
            children = _placed(place, value)
        else:
            continue
        yield place, value
        pending.extend(children)


def _form_findings(error):
    return [
        _error(
            _place(item["loc"]),
            "must be an object" if item["type"] == MODEL_ERROR else item["msg"],
        )
        for item in error.errors(
            include_url=False, include_input=False, include_context=False
        )
    ]


def _place(location):
    return "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in location
    ).lstrip(".")


def _error(place, text):
    return Finding(Severity.ERROR, place, text)
