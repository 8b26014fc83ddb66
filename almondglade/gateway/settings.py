"""Settings of one gateway, whatever platform they come from."""

from dataclasses import dataclass

# The port that the deploy file names for metrics.
METRICS_PORT = 9464


@dataclass(frozen=True)
class Bounds:
    """Limits that operators set for the whole fleet; times in seconds.

    Parameters
    ----------
    contact : float
        Time after a disturbance until an instance counts as in touch.
    grace : float
        Time between the signal to stop and the end of the process.
    revoke : float or None
        Time in which a revoked key must stop working; None sets no limit.
    retry_ratio, retry_slack : float
        Repeated dispatches allowed in a window: a share of the requests, and
        a number on top.
    retry_window : float
        Length of that window.
    quota_window, quota_overage, quota_slack : float
        Window of the workspaces' allowances and what may be drawn beyond.
    cold_overage, cold_slack : float
        Factor and number by which a cold target's rate may be exceeded.
    drain : float
        Time in which a leaving target must cease to get work.
    """

    contact: float = 3.0
    grace: float = 8.0
    revoke: float | None = 5.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 50.0
    quota_window: float = 8.0
    quota_overage: float = 0.25
    quota_slack: float = 0.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    drain: float = 2.0


@dataclass(frozen=True)
class GatewaySettings:
    """Where a gateway listens and whom it talks to.

    Parameters
    ----------
    first_start : bool
        Whether the whole system starts for the first time.
    capacity : float
        Relative processor and link; the strongest instances coordinate.
    """

    instance: str
    data_centre: str
    address: str
    caller_port: int
    ready_port: int
    operator_port: int | None
    peer_port: int
    seed_addresses: tuple[str, ...]
    store_address: str
    metrics_port: int = METRICS_PORT
    first_start: bool = True
    memory_bytes: int = 150 << 20
    max_files: int = 4096
    capacity: float = 0.0
    bounds: Bounds = Bounds()
