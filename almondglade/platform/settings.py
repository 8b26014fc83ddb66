"""Read the settings file that the platform writes for each process."""

import os
import tomllib

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import SettingsError
from ..gateway.settings import METRICS_PORT, Bounds, GatewaySettings

SETTINGS_VARIABLE = "ALMONDGLADE_CONFIG"
MILLISECONDS = 1000.0
# Traffic that keeps one core of a coordinator busy; from the cost of a report.
MBPS_PER_CORE = 50.0


class _Wire(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Listen(_Wire):
    front: str
    ready: str
    control: str | None = None


class _Limits(_Wire):
    memory_mb: int = Field(alias="memoryMb")
    max_files: int = Field(alias="maxFds")
    # Share of one core of the usual speed, and how much faster this one is.
    cpu_share: float = Field(1.0, alias="cpuShare")
    cpu_speed: float = Field(1.0, alias="cpuCores")
    link_mbps: float = Field(1000.0, alias="linkMbps")

    @property
    def capacity(self):
        """Cores, or what the link carries in the traffic of one core."""
        return round(
            min(self.cpu_share * self.cpu_speed, self.link_mbps / MBPS_PER_CORE), 2
        )


class _Bounds(_Wire):
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


class _Store(_Wire):
    address: str


class _File(_Wire):
    instance: str = Field(alias="nodeName")
    data_centre: str = Field(alias="zone")
    ip: str
    internal_ports: tuple[int, int] = Field(alias="internalPorts")
    seeds: list[str] = Field([], alias="seedNodes")
    first_start: bool = Field(False, alias="bootstrap")
    listen: _Listen
    limits: _Limits
    bounds: _Bounds = Field(default_factory=lambda: _Bounds.model_validate({}))
    platform: _Store


def load_gateway_settings(metrics_port=METRICS_PORT, environment=None):
    """Return the `GatewaySettings` of this process.

    Parameters
    ----------
    metrics_port : int
        Where metrics are served; the platform's file does not say.
    environment : dict or None
        Variables; the process's own when None.

    Raises
    ------
    SettingsError
        If the file is missing or not valid.
    """
    environment = os.environ if environment is None else environment
    path = environment.get(SETTINGS_VARIABLE)
    if path is None:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    try:
        with open(path, "rb") as stream:
            wire = _File.model_validate(tomllib.load(stream))
    except (OSError, tomllib.TOMLDecodeError, ValidationError) as error:
        raise SettingsError(f"the settings file is not usable: {error}") from error
    bounds = wire.bounds
    return GatewaySettings(
        instance=wire.instance,
        data_centre=wire.data_centre,
        address=wire.ip,
        caller_port=_port(wire.listen.front),
        ready_port=_port(wire.listen.ready),
        operator_port=_port(wire.listen.control) if wire.listen.control else None,
        peer_port=wire.internal_ports[0],
        seed_addresses=tuple(seed.rpartition(":")[0] for seed in wire.seeds),
        store_address=wire.platform.address,
        metrics_port=metrics_port,
        first_start=wire.first_start,
        memory_bytes=wire.limits.memory_mb << 20,
        max_files=wire.limits.max_files,
        capacity=wire.limits.capacity,
        bounds=Bounds(
            contact=bounds.contact_ms / MILLISECONDS,
            grace=bounds.grace_s,
            revoke=bounds.revoke_ms / MILLISECONDS if bounds.fail_closed else None,
            retry_ratio=bounds.retry_ratio,
            retry_window=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            quota_window=bounds.quota_window_s,
            quota_overage=bounds.quota_overage,
            quota_slack=bounds.quota_slack,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            drain=bounds.drain_ms / MILLISECONDS,
        ),
    )


def read_settings_fingerprint(environment=None):
    """Return the time and size of the settings file, or None without one.

    Parameters
    ----------
    environment : dict or None
        Variables; the process's own when None.
    """
    environment = os.environ if environment is None else environment
    try:
        status = os.stat(environment.get(SETTINGS_VARIABLE, ""))
    except OSError:
        # A reload says why the file cannot be read.
        return None
    return (status.st_mtime_ns, status.st_size)


def _port(address):
    return int(address.rpartition(":")[2])
