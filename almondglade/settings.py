"""Settings of an entry instance, read from flags and environment variables."""

import os
from ipaddress import ip_address
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    NonNegativeFloat,
    PositiveFloat,
    PositiveInt,
    ValidationError,
    model_validator,
)

from .errors import SettingsError

ENVIRONMENT_PREFIX = "ALMONDGLADE_"
MIN_SECRET_CHARACTERS = 16

Port = Annotated[int, Field(ge=1, le=65535)]
IpAddress = Annotated[str, AfterValidator(lambda text: str(ip_address(text)))]


class Settings(BaseModel):
    """Validated settings of one process.

    All durations are in seconds.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance: str = Field(
        pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$",
        description="Id of this instance, unique in the fleet.",
    )
    data_centre: str = Field(min_length=1, description="Data centre it runs in.")
    address: IpAddress = Field(
        "127.0.0.1", description="IP number to bind and to be reached at."
    )
    caller_port: Port = Field(8080, description="Port for callers.")
    operator_port: Port = Field(
        8081, description="Port for health, metrics and the dump."
    )
    peer_port: Port = Field(8082, description="Port for other instances.")
    platform: str = Field(
        pattern=r"^http://[^/\s]+",
        description="Base URL of the configuration service.",
    )
    configuration_key: str = Field(
        "almondglade/declarations", description="Key of the declared document."
    )
    service_name: str = Field(
        "almondglade", description="Name under which the platform lists instances."
    )
    peer_secret: str = Field(
        min_length=MIN_SECRET_CHARACTERS,
        repr=False,
        description="Secret that all instances share; at least 16 characters.",
    )
    max_requests: PositiveInt = Field(
        320, description="Requests served at once; more are refused at once."
    )
    memory_mb: PositiveInt = Field(
        512, description="Memory of the process in MB; bodies get a fifth of it."
    )
    reserve_threads: PositiveInt = Field(16, description="Threads kept for refusals.")
    stop_timeout: PositiveFloat = Field(
        30.0, description="Seconds that a graceful stop may take."
    )
    stop_notice: NonNegativeFloat = Field(
        2.0, description="Seconds of it in which new requests are still served."
    )
    own_key_window: PositiveFloat = Field(
        900.0,
        description="Seconds for which a caller's own idempotency key is protected.",
    )
    list_lag: PositiveFloat = Field(
        60.0,
        description="Seconds after an instance is listed until all can read so.",
    )
    queue_order: str = Field("tiered", description="Plug-in that orders the queue.")
    target_choice: str = Field(
        "expected-finish", description="Plug-in that chooses targets."
    )
    limits: str = Field("adaptive", description="Plug-in that limits targets.")
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        "info", description="Lowest level that is logged."
    )
    log_form: Literal["console", "json"] = Field(
        "console", description="Form of the log's lines."
    )

    @model_validator(mode="after")
    def _check_ports(self):
        ports = [self.caller_port, self.operator_port, self.peer_port]
        if len(set(ports)) < len(ports):
            raise ValueError("caller, operator and peer ports must differ")
        return self


def load_settings(flags, environment=None):
    """Combine flags, environment variables and defaults, in this order of precedence.

    Parameters
    ----------
    flags : dict
        Values by setting name; None if the flag was not given.
    environment : dict or None
        Environment variables; those of the process if None.

    Raises
    ------
    SettingsError
        If any value is missing or invalid; the message lists all of them.
    """
    environment = os.environ if environment is None else environment
    values = {
        name: environment[variable]
        for name in Settings.model_fields
        if (variable := ENVIRONMENT_PREFIX + name.upper()) in environment
    }
    values |= {name: value for name, value in flags.items() if value is not None}
    try:
        return Settings.model_validate(values)
    except ValidationError as error:
        raise SettingsError(
            "; ".join(
                f"{'.'.join(map(str, item['loc'])) or 'settings'}: {item['msg']}"
                for item in error.errors(include_url=False, include_input=False)
            )
        ) from error
