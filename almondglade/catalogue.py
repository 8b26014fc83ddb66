"""Routes, services and workspaces that operators declare on a platform.

These are the internal types; `almondglade.platform` decodes the published documents
into them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


def empty_mapping():
    """Return an immutable empty mapping."""
    return MappingProxyType({})


@dataclass(frozen=True)
class Route:
    """Destination and options of the requests below one path prefix of a host.

    Parameters
    ----------
    name : str
        Name in the declared document.
    host, path_prefix : str
        Host and path prefix that the route matches.
    weight_by_service : dict of str to float
        Share of the requests that each service receives.
    idempotent : bool
        Whether a request may run more than once.
    streaming : bool
        Whether the response is a stream of server-sent events.
    resumable : bool
        Whether a broken stream may be resumed at another target.
    timeout : float
        Longest time until the end of the response, seconds.
    latency_objective : float
        Objective for the seconds until the response, or until the first event of a
        stream.
    gap_objective : float
        Longest acceptable pause between the events of a stream, seconds.
    max_attempts : int
        Number of targets to which one request may be sent.
    tier : int
        Priority; 0 is served first.
    public : bool
        Whether a request needs no API key.
    """

    name: str
    host: str
    path_prefix: str
    weight_by_service: Mapping[str, float]
    idempotent: bool = False
    streaming: bool = False
    resumable: bool = False
    timeout: float = 30.0
    latency_objective: float = 1.0
    gap_objective: float = 1.0
    max_attempts: int = 1
    tier: int = 0
    public: bool = False

    @property
    def repeatable(self):
        """Whether a request may be sent again after an unknown outcome."""
        return self.idempotent or self.resumable


@dataclass(frozen=True)
class ServiceTerms:
    """Declared properties of a service, which is a pool of targets.

    Parameters
    ----------
    name : str
        Name of the service.
    is_engine : bool
        Whether its targets generate tokens.
    max_connections : int
        Connections that one target accepts in total, over all callers.
    cold_rate : float
        Requests per second that a target can handle while it is cold; 0 means no
        limit.
    tokens_per_event : float
        Number of tokens in one event of a stream.
    health_path : str
        Path of the status check of its targets; empty if they have none.
    """

    name: str
    is_engine: bool = False
    max_connections: int = 64
    cold_rate: float = 0.0
    tokens_per_event: float = 1.0
    health_path: str = ""


@dataclass(frozen=True)
class WorkspaceTerms:
    """A workspace and the limits of its plan.

    Parameters
    ----------
    name : str
        Name that is sent to targets.
    tier : int or None
        Priority of its requests, compared before the tier of the route; None if
        the workspace has no tier.
    rate : float
        Sustained rate in tokens or requests per second; 0 means unlimited.
    burst : float
        Capacity of the token bucket, in tokens or requests.
    counts_tokens : bool
        Whether rate and burst count tokens rather than requests.
    default_tokens : float
        Tokens charged for a request that states no maximum.
    """

    name: str
    tier: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: float = 1.0


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the requests of callers.

    Parameters
    ----------
    max_body_bytes : int
        Largest accepted request body, bytes.
    """

    max_body_bytes: int = 1 << 22


@dataclass(frozen=True)
class Catalogue:
    """One version of the complete declared document.

    Parameters
    ----------
    version : int
        Version of the document.
    routes_by_host : dict of str to dict of str to Route
        Routes by host and path prefix.
    service_by_name : dict of str to ServiceTerms
    workspace_by_key : dict of str to WorkspaceTerms
        Workspaces by API key.
    requires_keys : bool
        Whether callers need API keys.
    limits : CallerLimits
        Limits on the requests of callers.
    """

    version: int = 0
    routes_by_host: Mapping[str, Mapping[str, Route]] = field(
        default_factory=empty_mapping
    )
    service_by_name: Mapping[str, ServiceTerms] = field(default_factory=empty_mapping)
    workspace_by_key: Mapping[str, WorkspaceTerms] = field(
        default_factory=empty_mapping
    )
    requires_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host, path):
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Host header of the request.
        path : str
            Path without the query string.
        """
        by_prefix = self.routes_by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


@dataclass(frozen=True)
class TargetRecord:
    """One target as listed by the platform.

    Parameters
    ----------
    id : str
        Id of this incarnation of the target.
    service : str
        Service that it belongs to.
    host, port : str, int
        Address of the target.
    data_centre : str
        Data centre in which it runs.
    slots : int
        Number of requests that it can run concurrently.
    leaving : bool
        Whether it is leaving and accepts no new requests.
    cold_until : float
        Monotonic time at which its cold phase ends.
    started_at : int
        Unix time of its start, milliseconds.
    sequence : int
        Sequence number of its report, counted from its start.
    version : str
        Version of its software; empty if it is not known.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool = False
    cold_until: float = 0.0
    started_at: int = 0
    sequence: int = 0
    version: str = ""

    @property
    def incarnation(self):
        """Id and start time, as a target may start again under the same id."""
        return (self.id, self.started_at)
