"""Read a configuration strictly, as its operator wrote it, and keep the places.

A gateway takes more than this reader does, such as numbers written as text.
"""

import hashlib
import json
import re
from dataclasses import replace
from pathlib import Path
from typing import Annotated

import orjson
from pydantic import Field, ValidationError

from ..configcheck.drafts import (
    Draft,
    Finding,
    KeyEntry,
    LimitsEntry,
    RouteEntry,
    ServiceEntry,
    Severity,
    Share,
    WorkspaceEntry,
)
from .wire import (
    IDEMPOTENT,
    MILLISECONDS_PER_SECOND,
    STREAMING,
    DocumentModel,
    EngineModel,
    LimitsModel,
    RouteModel,
    ServiceModel,
    ShareModel,
    WorkspaceModel,
)

NON_IDEMPOTENT = "non_idempotent"
ROUTE_TYPES = frozenset({STREAMING, IDEMPOTENT, NON_IDEMPOTENT})
# Sixteen times the largest value of the platform's store, bytes.
MAX_FILE_BYTES = 1 << 24
# Numbers beyond these are taken for a mistake: one day, and the integers that JSON
# readers keep exact.
MAX_MILLISECONDS = 86_400_000.0
MAX_NUMBER = 1 << 53
MAX_ATTEMPTS = 100
MAX_PRIORITY = 1000
# Fields that only a configuration of the platform has, or only a declared document.
CONFIGURATION_FIELDS = re.compile(
    rb'"(routes|tenants|pathPrefix|routeType|apiKeys)"\s*:'
)
DECLARATION_FIELDS = re.compile(rb'"(plans|workspaces|data_centres|targets)"\s*:')

PositiveMs = Annotated[float, Field(gt=0.0, le=MAX_MILLISECONDS)]
Amount = Annotated[float, Field(ge=0.0, le=MAX_NUMBER)]
PositiveCount = Annotated[int, Field(ge=1, le=MAX_NUMBER)]
Priority = Annotated[int, Field(ge=0, le=MAX_PRIORITY)]
RequiredText = Annotated[str, Field(min_length=1)]
# What a header can carry.
KeyText = Annotated[str, Field(pattern=r"^[!-~]+$")]


class _Share(ShareModel):
    service: RequiredText
    weight: Amount


class _Route(RouteModel):
    host: RequiredText
    timeout_ms: PositiveMs = Field(
        RouteModel.model_fields["timeout_ms"].default, alias="timeoutMs"
    )
    latency_objective_ms: PositiveMs = Field(
        RouteModel.model_fields["latency_objective_ms"].default,
        alias="targetLatencyMs",
    )
    gap_objective_ms: PositiveMs = Field(
        RouteModel.model_fields["gap_objective_ms"].default, alias="gapTargetMs"
    )
    priority: Priority = 0
    traffic_split: list[_Share] | None = Field(  # type: ignore[assignment]
        None, alias="trafficSplit"
    )
    max_attempts: Annotated[int, Field(ge=1, le=MAX_ATTEMPTS)] = Field(
        1, alias="maxAttempts"
    )

    def shares(self, place):
        """Return the destinations, of which gateways prefer the single service."""
        if self.service is not None:
            return (Share(place, self.service, 1.0),)
        return tuple(
            Share(f"{place}.trafficSplit[{index}]", share.service, share.weight)
            for index, share in enumerate(self.traffic_split or ())
        )


class _Engine(EngineModel):
    stride: Annotated[float, Field(gt=0.0, le=MAX_NUMBER)] = 1.0


class _Service(ServiceModel):
    name: RequiredText
    max_connections: PositiveCount = Field(
        ServiceModel.model_fields["max_connections"].default, alias="maxConnections"
    )
    cold_rate: Amount = Field(0.0, alias="coldPerS")
    engine: _Engine | None = None


class _Workspace(WorkspaceModel):
    name: RequiredText
    api_keys: list[KeyText] = Field([], alias="apiKeys")
    priority: Priority | None = None
    rate: Amount = Field(0.0, alias="ratePerS")
    burst: Amount = 0.0
    default_tokens: Amount = Field(1.0, alias="plainTokens")


class _Limits(LimitsModel):
    max_body_bytes: PositiveCount = Field(
        LimitsModel.model_fields["max_body_bytes"].default, alias="maxBodyBytes"
    )
    max_header_bytes: PositiveCount | None = Field(None, alias="maxHeaderBytes")
    header_timeout_ms: PositiveMs | None = Field(None, alias="headerTimeoutMs")
    idle_timeout_ms: PositiveMs | None = Field(None, alias="idleTimeoutMs")

    def entry(self):
        """Return the `LimitsEntry`."""
        return LimitsEntry(
            "limits",
            self.max_body_bytes,
            self.max_header_bytes,
            _seconds(self.header_timeout_ms),
            _seconds(self.idle_timeout_ms),
        )


class _Document(DocumentModel):
    version: PositiveCount
    routes: list[_Route]  # type: ignore[assignment]
    services: list[_Service] = []  # type: ignore[assignment]
    limits: _Limits = Field(default_factory=lambda: _Limits.model_validate({}))
    tenants: list[_Workspace] | None = None  # type: ignore[assignment]


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

KNOWN_FIELDS = frozenset(
    field.alias or name
    for model in (_Document, _Route, _Share, _Service, _Engine, _Workspace, _Limits)
    for name, field in model.model_fields.items()
)
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


def read_draft(path):
    """Read a configuration from a file.

    Parameters
    ----------
    path : str or Path
        JSON file, as published in the platform's store.

    Returns
    -------
    draft : Draft or None
        None if there are errors.
    findings : list of Finding
        Errors of the file's form, each with its place.
    """
    try:
        document = _read_start(path)
    except OSError as error:
        return None, [_error("", f"cannot be read: {error.strerror}")]
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
    findings = list(_repeated_fields(raw))
    try:
        parsed = _Document.model_validate(raw, strict=True)
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


def _repeated_fields(raw):
    # Other fields are not named: one may be a key that was written in the wrong place.
    pending = [("", raw)]
    while pending:
        place, value = pending.pop()
        if isinstance(value, _Object):
            if value.is_repeated:
                yield _error(place, "a field stands twice in this object")
            pending.extend(
                (f"{place}.{name if name in KNOWN_FIELDS else '?'}".lstrip("."), child)
                for name, child in value.items()
                if isinstance(child, dict | list)
            )
        elif isinstance(value, list):
            pending.extend(
                (f"{place}[{index}]", child)
                for index, child in enumerate(value)
                if isinstance(child, dict | list)
            )


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


def _seconds(milliseconds):
    return None if milliseconds is None else milliseconds / MILLISECONDS_PER_SECOND
