"""Settings of an entry instance, from flags and environment variables."""

import os
from typing import Annotated, Literal

from pydantic import (
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


class Settings(BaseModel):
    """Checked settings of one process.

    Times are in seconds.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]
    data_centre: str
    address: str = "127.0.0.1"
    caller_port: Port = 8080
    operator_port: Port = 8081
    peer_port: Port = 8082
    platform: Annotated[str, Field(pattern=r"^http://")]
    configuration_key: str = "almondglade/declarations"
    service_name: str = "almondglade"
    peer_secret: Annotated[str, Field(min_length=MIN_SECRET_CHARACTERS, repr=False)]
    max_requests: PositiveInt = 320
    reserve_threads: PositiveInt = 16
    stop_timeout: PositiveFloat = 30.0
    stop_notice: NonNegativeFloat = 2.0
    queue_order: str = "tiered"
    target_choice: str = "expected-finish"
    limits: str = "adaptive"
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    log_form: Literal["console", "json"] = "console"

    @model_validator(mode="after")
    def _check_ports(self):
        ports = [self.caller_port, self.operator_port, self.peer_port]
        if len(set(ports)) < len(ports):
            raise ValueError("caller, operator and peer ports must differ")
        return self


def load_settings(flags, environment=None):
    """Merge flags over environment variables over defaults.

    Parameters
    ----------
    flags : dict
        Values by setting name; None means not given.
    environment : dict or None
        Variables; the process's own when None.

    Raises
    ------
    SettingsError
        With every unusable value.
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
