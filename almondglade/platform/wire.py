"""Decode the documents of the platform's store into the types of the catalogue.

The platform's field names are not used beyond this module.
"""

import base64
import binascii
import ipaddress
from types import MappingProxyType
from typing import Annotated

import orjson
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from ..catalogue import (
    CallerLimits,
    Catalogue,
    Route,
    ServiceTerms,
    TargetRecord,
    WorkspaceTerms,
)
from ..errors import PlatformError

CONFIGURATION_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"

STREAMING = "streaming"
IDEMPOTENT = "idempotent"
TOKENS = "tokens"
READY = "ready"
DRAINING = "draining"
MILLISECONDS_PER_SECOND = 1000.0
# Limits of a target's entry; one beyond them was not written by a target.
MAX_NAME_CHARACTERS = 256
MAX_PORT = 65_535
MAX_SLOTS = 1 << 16
MAX_COUNT = 1 << 53
MAX_COLD_MS = 3_600_000.0
# Timeout of routes that declare none.
DEFAULT_TIMEOUT_MS = 30_000.0


class PlatformModel(BaseModel):
    """Base of the platform's entries; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)


class ShareModel(PlatformModel):
    """Share of a route's requests that goes to one service."""

    service: str
    weight: float


class RouteModel(PlatformModel):
    """A route of the configuration."""

    name: str = ""
    host: str
    path_prefix: str = Field(alias="pathPrefix")
    route_type: str = Field(alias="routeType")
    timeout_ms: float = Field(DEFAULT_TIMEOUT_MS, alias="timeoutMs")
    latency_objective_ms: float = Field(1000.0, alias="targetLatencyMs")
    gap_objective_ms: float = Field(1000.0, alias="gapTargetMs")
    priority: int = 0
    service: str | None = None
    traffic_split: list[ShareModel] | None = Field(None, alias="trafficSplit")
    max_attempts: int = Field(1, alias="maxAttempts")
    public: bool = Field(False, alias="publicAccess")
    resumable: bool = Field(False, alias="streamResume")

    def decode(self):
        """Return the `Route`."""
        weights = {share.service: share.weight for share in self.traffic_split or ()}
        if self.service is not None:
            weights = {self.service: 1.0}
        streaming = self.route_type == STREAMING
        return Route(
            self.name,
            self.host.lower(),
            self.path_prefix,
            MappingProxyType(weights),
            idempotent=self.route_type == IDEMPOTENT,
            streaming=streaming,
            resumable=streaming and self.resumable,
            timeout=self.timeout_ms / MILLISECONDS_PER_SECOND,
            latency_objective=self.latency_objective_ms / MILLISECONDS_PER_SECOND,
            gap_objective=self.gap_objective_ms / MILLISECONDS_PER_SECOND,
            max_attempts=max(1, self.max_attempts),
            tier=self.priority,
            public=self.public,
        )


class EngineModel(PlatformModel):
    """Engine of a service's targets."""

    # Tokens per event of a stream.
    stride: float = Field(1.0, gt=0.0)


class ServiceModel(PlatformModel):
    """A service of the configuration."""

    name: str
    max_connections: int = Field(64, alias="maxConnections")
    cold_rate: float = Field(0.0, alias="coldPerS")
    health_path: str = Field("", alias="healthPath", pattern=r"^(/[!-~]*)?$")
    engine: EngineModel | None = None

    def decode(self):
        """Return the `ServiceTerms`."""
        return ServiceTerms(
            self.name,
            self.engine is not None,
            self.max_connections,
            self.cold_rate,
            self.engine.stride if self.engine else 1.0,
            self.health_path,
        )


class WorkspaceModel(PlatformModel):
    """A workspace of the configuration, with its keys."""

    name: str
    api_keys: list[str] = Field([], alias="apiKeys")
    priority: int | None = None
    rate: float = Field(0.0, alias="ratePerS")
    burst: float = 0.0
    unit: str = ""
    default_tokens: float = Field(1.0, alias="plainTokens")

    def decode(self):
        """Return the `WorkspaceTerms`."""
        return WorkspaceTerms(
            self.name,
            self.priority,
            self.rate,
            self.burst,
            self.unit == TOKENS,
            self.default_tokens,
        )


class LimitsModel(PlatformModel):
    """Limits on the requests of callers."""

    max_body_bytes: int = Field(1 << 22, alias="maxBodyBytes")


class DocumentModel(PlatformModel):
    """The whole configuration."""

    version: int
    routes: list[RouteModel]
    services: list[ServiceModel] = []
    limits: LimitsModel = Field(default_factory=lambda: LimitsModel.model_validate({}))
    tenants: list[WorkspaceModel] | None = None


def _parse_address(value):
    """Return host and port of an address that a target can have.

    Raises
    ------
    ValueError
        If it is not an IPv4 address of one host and a port.
    """
    if not isinstance(value, str):
        raise ValueError("the address is not a text")
    host, _, port = value.rpartition(":")
    address = ipaddress.IPv4Address(host)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError(f"{host} is not the address of a host")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"{port[:MAX_NAME_CHARACTERS]} is not a port")
    return str(address), int(port)


Name = Annotated[str, Field(strict=True, max_length=MAX_NAME_CHARACTERS)]
Count = Annotated[int, Field(strict=True, ge=0, le=MAX_COUNT)]


class _Target(PlatformModel):
    service: Name = Field(min_length=1)
    address: Annotated[tuple[str, int], BeforeValidator(_parse_address)]
    zone: Name
    slots: int = Field(ge=1, le=MAX_SLOTS, strict=True)
    state: str = Field(pattern=f"^({READY}|{DRAINING})$", strict=True)
    cold_remaining_ms: float = Field(
        0.0, alias="coldRemainingMs", ge=0.0, le=MAX_COLD_MS, strict=True
    )
    sequence: Count = 0
    # Version of the target's software, not of its model's weights.
    version: Name = ""
    born: Count = 0


def decode_catalogue(document):
    """Return the `Catalogue` in a published document.

    Parameters
    ----------
    document : bytes
        JSON document as written by the operator.

    Raises
    ------
    PlatformError
        If it is not a valid document.
    """
    try:
        parsed = DocumentModel.model_validate(orjson.loads(document))
    except (orjson.JSONDecodeError, ValidationError) as error:
        raise PlatformError(f"the document is not valid: {error}") from error
    routes_by_host: dict[str, dict[str, Route]] = {}
    for route in (entry.decode() for entry in parsed.routes):
        routes_by_host.setdefault(route.host, {})[route.path_prefix] = route
    workspace_by_key = {
        key: workspace
        for entry in parsed.tenants or ()
        for workspace in (entry.decode(),)
        for key in entry.api_keys
    }
    return Catalogue(
        parsed.version,
        routes_by_host,
        {entry.name: entry.decode() for entry in parsed.services},
        workspace_by_key,
        parsed.tenants is not None,
        CallerLimits(parsed.limits.max_body_bytes),
    )


def decode_target(key, document, now):
    """Return the `TargetRecord` in a published entry.

    Parameters
    ----------
    key : str
        Key of the entry in the store.
    document : bytes
        Its value, as JSON.
    now : float
        Monotonic time at which the entry was read, in seconds.

    Raises
    ------
    PlatformError
        If the entry does not describe a valid target.
    """
    try:
        parsed = _Target.model_validate(orjson.loads(document))
    except (orjson.JSONDecodeError, ValidationError) as error:
        raise PlatformError(f"the entry {key} is not valid: {error}") from error
    return TargetRecord(
        key.removeprefix(TARGET_PREFIX),
        parsed.service,
        *parsed.address,
        parsed.zone,
        parsed.slots,
        parsed.state == DRAINING,
        now + parsed.cold_remaining_ms / MILLISECONDS_PER_SECOND,
        parsed.born,
        parsed.sequence,
        parsed.version,
    )


def decode_value(item):
    """Return the bytes of an item's value.

    Raises
    ------
    PlatformError
        If there is none or it is not base64.
    """
    try:
        return base64.b64decode(item["value"], validate=True)
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise PlatformError("an item has no valid base64 value") from error
