"""Load the settings file that the platform writes for each process."""

import os
import tomllib

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import SettingsError
from ..gateway.settings import DEFAULT_FEATURES, METRICS_PORT, Bounds, GatewaySettings
from ..placement.ownlimits import Machine

SETTINGS_VARIABLE = "ALMONDGLADE_CONFIG"
MILLISECONDS_PER_SECOND = 1000.0
# Network traffic that keeps one core of a coordinator busy, derived from the cost of
# a report.
MBPS_PER_CORE = 50.0
BYTES_PER_MEGABIT = 125_000.0


class _PlatformModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Listen(_PlatformModel):
    front: str
    ready: str
    control: str | None = None


class _Limits(_PlatformModel):
    memory_mb: int = Field(alias="memoryMb")
    max_files: int = Field(alias="maxFds")
    # Usable share of one core, and the speed of that core relative to a standard one.
    cpu_share: float = Field(1.0, alias="cpuShare")
    cpu_speed: float = Field(1.0, alias="cpuCores")
    link_mbps: float = Field(1000.0, alias="linkMbps")

    @property
    def capacity(self):
        """Capacity in standard cores, limited by the processor or the network link."""
        return round(
            min(self.cpu_share * self.cpu_speed, self.link_mbps / MBPS_PER_CORE), 2
        )

    @property
    def machine(self):
        """The `Machine`, or None if neither processor nor link is declared."""
        declared = {"cpu_share", "cpu_speed", "link_mbps"} & self.model_fields_set
        if not declared:
            return None
        if "link_mbps" not in declared:
            return Machine()
        return Machine(self.link_mbps * BYTES_PER_MEGABIT)


class _Bounds(_PlatformModel):
    contact_ms: float = Field(3000, alias="contactMs")
    grace_s: float = Field(8, alias="graceS")
    fail_closed: bool = Field(False, alias="revokeFailClosed")
    revoke_ms: float = Field(5000, alias="revokeMs")
    retry_ratio: float = Field(0.2, alias="retryBudgetRatio")
    retry_window_s: float = Field(10, alias="budgetWindowS")
    retry_slack: float = Field(50, alias="retrySlack")
    quota_window_s: float = Field(8, alias="quotaWindowS")
    quota_overage: float = Field(0.25, alias="quotaOverage")
    quota_slack: float = Field(0, alias="quotaSlack")
    cold_overage: float = Field(1.0, alias="coldOverage")
    cold_slack: float = Field(0, alias="coldSlack")
    drain_ms: float = Field(2000, alias="drainMs")


class _Store(_PlatformModel):
    address: str


class _File(_PlatformModel):
    instance: str = Field(alias="nodeName")
    data_centre: str = Field(alias="zone")
    ip: str
    internal_ports: tuple[int, int] = Field(alias="internalPorts")
    seeds: list[str] = Field([], alias="seedNodes")
    first_start: bool = Field(False, alias="bootstrap")
    report_interval_ms: float = Field(1200, alias="heartbeatMs")
    listen: _Listen
    limits: _Limits
    bounds: _Bounds = Field(default_factory=lambda: _Bounds.model_validate({}))
    platform: _Store


def load_gateway_settings(
    metrics_port=METRICS_PORT, environment=None, features=DEFAULT_FEATURES
):
    """Return the `GatewaySettings` of this process.

    Parameters
    ----------
    metrics_port : int
        Port that serves metrics, which the settings file does not contain.
    environment : dict or None
        Environment variables; those of the process if None.
    features : Features
        Which optional decisions are allowed, which the file does not contain either.

    Raises
    ------
    SettingsError
        If the variable is not set, or the file is missing or not valid.
    """
    environment = os.environ if environment is None else environment
    path = environment.get(SETTINGS_VARIABLE)
    if path is None:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    try:
        with open(path, "rb") as stream:
            parsed = _File.model_validate(tomllib.load(stream))
    except (OSError, tomllib.TOMLDecodeError, ValidationError) as error:
        raise SettingsError(f"cannot load the settings file: {error}") from error
    bounds = parsed.bounds
    return GatewaySettings(
        instance=parsed.instance,
        data_centre=parsed.data_centre,
        address=parsed.ip,
        caller_port=_parse_port(parsed.listen.front),
        ready_port=_parse_port(parsed.listen.ready),
        operator_port=_parse_port(parsed.listen.control)
        if parsed.listen.control
        else None,
        peer_port=parsed.internal_ports[0],
        seed_addresses=tuple(seed.rpartition(":")[0] for seed in parsed.seeds),
        store_address=parsed.platform.address,
        metrics_port=metrics_port,
        first_start=parsed.first_start,
        memory_bytes=parsed.limits.memory_mb << 20,
        max_files=parsed.limits.max_files,
        capacity=parsed.limits.capacity,
        report_interval=parsed.report_interval_ms / MILLISECONDS_PER_SECOND,
        machine=parsed.limits.machine,
        bounds=Bounds(
            contact=bounds.contact_ms / MILLISECONDS_PER_SECOND,
            grace=bounds.grace_s,
            revoke=bounds.revoke_ms / MILLISECONDS_PER_SECOND
            if bounds.fail_closed
            else None,
            retry_ratio=bounds.retry_ratio,
            retry_window=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            quota_window=bounds.quota_window_s,
            quota_overage=bounds.quota_overage,
            quota_slack=bounds.quota_slack,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            drain=bounds.drain_ms / MILLISECONDS_PER_SECOND,
        ),
        features=features,
    )


def read_settings_fingerprint(environment=None):
    """Return the modification time and size of the settings file.

    Parameters
    ----------
    environment : dict or None
        Environment variables; those of the process if None.

    Returns
    -------
    tuple of int or None
        Modification time in nanoseconds and size in bytes; None if the file cannot
        be accessed.
    """
    environment = os.environ if environment is None else environment
    try:
        status = os.stat(environment.get(SETTINGS_VARIABLE, ""))
    except OSError:
        # The reload that this change causes reports why the file cannot be read.
        return None
    return (status.st_mtime_ns, status.st_size)


def _parse_port(address):
    return int(address.rpartition(":")[2])
