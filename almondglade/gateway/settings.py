"""Settings of one gateway, independent of the platform that provides them."""

from dataclasses import dataclass

from ..placement.ownlimits import Machine

# Port for metrics in the deployment file.
METRICS_PORT = 9464


@dataclass(frozen=True)
class Bounds:
    """Limits that operators set for the whole fleet; times in seconds.

    Parameters
    ----------
    contact : float
        Time after a disturbance until an instance counts as in contact again.
    grace : float
        Time between the stop signal and the end of the process.
    revoke : float or None
        Time within which a revoked key must stop working; None sets no limit.
    retry_ratio, retry_slack : float
        Retries allowed in a window: a share of the requests, plus a fixed number.
    retry_window : float
        Length of that window.
    quota_window, quota_overage, quota_slack : float
        Window of the workspaces' allowances, and the share and the number by which
        usage may exceed them.
    cold_overage, cold_slack : float
        Factor and number by which a cold target's request rate may be exceeded.
    drain : float
        Time within which a leaving target must stop receiving new requests.
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
class Features:
    """Which optional decisions an operator allows.

    Each one also needs what it decides on, such as workspaces with allowances.

    Parameters
    ----------
    fair_shares : bool
        Whether workspaces share the slots of a service evenly.
    timely_first : bool
        Whether requests that can still be answered within their objective go before
        others of their tier.
    momentary_load : bool
        Whether what targets say of their present load counts in the choice of one.
    booked_returns : bool
        Whether refused callers get a time to return that is kept for them.
    own_limits : bool
        Whether this instance turns work away by its own processor, memory and link.
    uneven_demand : bool
        Whether load moves between data centres before their queues are full, where a
        service is split into cells.
    hedge_share : float
        Share of a service's requests that may be sent to a second target before the
        first has answered; 0 sends none.
    """

    fair_shares: bool = True
    timely_first: bool = True
    momentary_load: bool = False
    booked_returns: bool = False
    own_limits: bool = True
    uneven_demand: bool = False
    hedge_share: float = 0.0


DEFAULT_FEATURES = Features()


@dataclass(frozen=True)
class GatewaySettings:
    """Addresses, ports and limits of one gateway.

    Parameters
    ----------
    instance, data_centre : str
        Name of the instance, and where it runs.
    address : str
        IP address on which it listens.
    caller_port, ready_port, peer_port, metrics_port : int
        Ports for callers, readiness probes, other instances and metrics.
    operator_port : int or None
        Port for operators; None serves them on the metrics port alone.
    seed_addresses : tuple of str
        Addresses of instances that it contacts first.
    store_address : str
        Address and port of the platform's store.
    first_start : bool
        Whether the whole system starts for the first time.
    memory_bytes, max_files : int
        Limits on the memory and the open files of the process.
    capacity : float
        Relative capacity of processor and network link; the instances with the
        highest capacity become coordinators.
    report_interval : float
        Seconds from one report of a target to the next.
    machine : Machine or None
        What is declared of the machine's processor and link; None if nothing is.
    features : Features
        Which optional decisions are allowed.
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
    report_interval: float = 1.2
    machine: Machine | None = None
    bounds: Bounds = Bounds()
    features: Features = DEFAULT_FEATURES
