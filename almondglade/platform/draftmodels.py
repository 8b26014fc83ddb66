"""Bounds of a configuration that its operator can have meant.

They are narrower than what a gateway takes.
"""

from typing import Annotated

from pydantic import Field

from ..configcheck.drafts import LimitsEntry, Share
from .wire import (
    MILLISECONDS_PER_SECOND,
    DocumentModel,
    EngineModel,
    LimitsModel,
    RouteModel,
    ServiceModel,
    ShareModel,
    WorkspaceModel,
)

# Numbers beyond these are taken for a mistake: one day, and the integers that JSON
# readers keep exact.
MAX_MILLISECONDS = 86_400_000.0
MAX_NUMBER = 1 << 53
MAX_ATTEMPTS = 100
MAX_PRIORITY = 1000

PositiveMs = Annotated[float, Field(gt=0.0, le=MAX_MILLISECONDS)]
Amount = Annotated[float, Field(ge=0.0, le=MAX_NUMBER)]
PositiveCount = Annotated[int, Field(ge=1, le=MAX_NUMBER)]
Priority = Annotated[int, Field(ge=0, le=MAX_PRIORITY)]
RequiredText = Annotated[str, Field(min_length=1)]
# What a header can carry.
KeyText = Annotated[str, Field(pattern=r"^[!-~]+$")]


class StrictShare(ShareModel):
    """A share with a weight that can be one."""

    service: RequiredText
    weight: Amount


class StrictRoute(RouteModel):
    """A route with limits that can be ones."""

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
    traffic_split: list[StrictShare] | None = Field(  # type: ignore[assignment]
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


class StrictEngine(EngineModel):
    """An engine whose events have tokens."""

    stride: Annotated[float, Field(gt=0.0, le=MAX_NUMBER)] = 1.0


class StrictService(ServiceModel):
    """A service with limits that can be ones."""

    name: RequiredText
    max_connections: PositiveCount = Field(
        ServiceModel.model_fields["max_connections"].default, alias="maxConnections"
    )
    cold_rate: Amount = Field(0.0, alias="coldPerS")
    engine: StrictEngine | None = None


class StrictWorkspace(WorkspaceModel):
    """A workspace with keys that a header can carry."""

    name: RequiredText
    api_keys: list[KeyText] = Field([], alias="apiKeys")
    priority: Priority | None = None
    rate: Amount = Field(0.0, alias="ratePerS")
    burst: Amount = 0.0
    default_tokens: Amount = Field(1.0, alias="plainTokens")


class StrictLimits(LimitsModel):
    """All limits on requests, also those that gateways don't read."""

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


class StrictDocument(DocumentModel):
    """The whole configuration, to be validated strictly."""

    version: PositiveCount
    routes: list[StrictRoute]  # type: ignore[assignment]
    services: list[StrictService] = []  # type: ignore[assignment]
    limits: StrictLimits = Field(
        default_factory=lambda: StrictLimits.model_validate({})
    )
    tenants: list[StrictWorkspace] | None = None  # type: ignore[assignment]


KNOWN_FIELDS = frozenset(
    field.alias or name
    for model in (
        StrictDocument,
        StrictRoute,
        StrictShare,
        StrictService,
        StrictEngine,
        StrictWorkspace,
        StrictLimits,
    )
    for name, field in model.model_fields.items()
)


def _seconds(milliseconds):
    return None if milliseconds is None else milliseconds / MILLISECONDS_PER_SECOND
