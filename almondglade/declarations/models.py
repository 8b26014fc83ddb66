"""Models of the declared document, which validate it on input."""

import re
from typing import Annotated, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    NonNegativeFloat,
    PositiveFloat,
    PositiveInt,
    StringConstraints,
    model_validator,
)
from pydantic_core import PydanticCustomError

MAX_BODY_BYTES = 1 << 20

Name = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9_.-]*$", max_length=63)
]
KeyHash = Annotated[str, StringConstraints(pattern=r"^sha256:[0-9a-f]{64}$")]
BaseUrl = Annotated[
    str, StringConstraints(pattern=r"^http://[0-9a-zA-Z.\[\]:-]+(/[\w./-]*)?$")
]
# Service names are used in request paths, so they must not clash with these paths.
RESERVED_NAMES = frozenset({"v1"})
HTTP_METHOD = re.compile(r"^[A-Z]{1,16}$")


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Allowance(_Model):
    """Limits of a plan for one service.

    Parameters
    ----------
    concurrent : int
        Maximum number of concurrent requests.
    tokens_per_minute, requests_per_minute : float or None
        Sustained rate; None means unlimited.
    burst_seconds : float
        Capacity of the token bucket, in seconds at the sustained rate.
    """

    concurrent: PositiveInt = 8
    tokens_per_minute: PositiveFloat | None = None
    requests_per_minute: PositiveFloat | None = None
    burst_seconds: PositiveFloat = 10.0


class Plan(_Model):
    """A plan that workspaces subscribe to; tier 0 is served first."""

    tier: Annotated[int, Field(ge=0, le=15)]
    allowances: dict[Name, Allowance]


class Workspace(_Model):
    """One workspace, its plan and the hashes of its callers' keys."""

    plan: Name
    keys: list[KeyHash] = []


class DataCentre(_Model):
    """A data centre, in or out of service."""

    state: Literal["in", "out"] = "in"


class TimeLimits(_Model):
    """Time limits of one dispatch, seconds."""

    connect: PositiveFloat = 1.0
    first_byte: PositiveFloat = 20.0
    between_bytes: PositiveFloat = 5.0
    total: PositiveFloat = 300.0


class Route(_Model):
    """An exception to the idempotency that RFC 9110 defines for a method."""

    method: Annotated[str, StringConstraints(pattern=HTTP_METHOD.pattern)]
    path: Annotated[str, StringConstraints(pattern=r"^/")]
    idempotent: bool


class Service(_Model):
    """A pool of interchangeable targets that serve the same requests.

    Parameters
    ----------
    report_lag : float
        Maximum age of a target's load report, seconds.
    token_gap : float or None
        Objective for the seconds between tokens; a target's limit stays below the
        concurrency at which it would be missed.
    warm_up : float
        Seconds after its start or a failure during which a target's limit stays at
        one.
    """

    kind: Name
    models: list[str] = []
    limits: TimeLimits = TimeLimits()
    max_wait: PositiveFloat = 10.0
    token_gap: PositiveFloat | None = None
    warm_up: NonNegativeFloat = 0.0
    max_body_bytes: PositiveInt = MAX_BODY_BYTES
    queue_length: PositiveInt = 256
    routes: list[Route] = []
    report_lag: PositiveFloat = 1.0


class Target(_Model):
    """One target of a service."""

    service: Name
    data_centre: Name
    url: BaseUrl
    state: Literal["serving", "leaving"] = "serving"
    max_concurrent: PositiveInt = 64


class Instance(_Model):
    """An entry instance that operators take out of service by name."""

    state: Literal["serving", "leaving"] = "serving"


class Declarations(_Model):
    """The whole declared document."""

    plans: dict[Name, Plan]
    workspaces: dict[Name, Workspace]
    data_centres: dict[Name, DataCentre]
    services: dict[Name, Service]
    targets: dict[Name, Target] = {}
    instances: dict[Name, Instance] = {}

    @model_validator(mode="after")
    def _check_references(self):
        problems = list(self._reference_problems())
        if problems:
            raise PydanticCustomError("references", "\n".join(problems))
        return self

    def _reference_problems(self):
        yield from (
            f"services.{name}: the name is reserved for paths of this system"
            for name in RESERVED_NAMES & self.services.keys()
        )
        yield from (
            f"workspaces.{name}.plan: no plan named {workspace.plan!r}"
            for name, workspace in self.workspaces.items()
            if workspace.plan not in self.plans
        )
        yield from (
            f"plans.{name}.allowances.{service}: no service named {service!r}"
            for name, plan in self.plans.items()
            for service in plan.allowances
            if service not in self.services
        )
        for name, target in self.targets.items():
            if target.service not in self.services:
                yield f"targets.{name}.service: no service named {target.service!r}"
            if target.data_centre not in self.data_centres:
                yield (
                    f"targets.{name}.data_centre: "
                    f"no data centre named {target.data_centre!r}"
                )
        yield from self._duplicate_problems(
            "keys",
            (
                (key, f"workspaces.{name}.keys")
                for name, workspace in self.workspaces.items()
                for key in workspace.keys
            ),
        )
        yield from self._duplicate_problems(
            "model",
            (
                (model, f"services.{name}.models")
                for name, service in self.services.items()
                for model in service.models
            ),
        )

    @staticmethod
    def _duplicate_problems(what, occurrences):
        seen: dict[str, str] = {}
        for value, path in occurrences:
            if value in seen:
                yield f"{path}: {what} {value!r} is already used at {seen[value]}"
            seen.setdefault(value, path)

    def targets_of(self, service):
        """Return all targets of a service by id, including those out of service."""
        return {
            name: target
            for name, target in self.targets.items()
            if target.service == service
        }

    def takes_new_work(self, name):
        """Return whether a target may receive a new dispatch."""
        target = self.targets.get(name)
        return (
            target is not None
            and target.state == "serving"
            and self.data_centres[target.data_centre].state == "in"
        )

    def allowance(self, workspace, service):
        """Return the allowance of a workspace for a service, or None."""
        return self.plans[self.workspaces[workspace].plan].allowances.get(service)
