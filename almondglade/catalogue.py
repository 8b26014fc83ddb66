"""What operators declare on a platform: routes, services and workspaces.

These are the types inside the system; `almondglade.platform` decodes what the
platform publishes into them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


def empty():
    """Return a mapping of nothing that cannot be changed."""
    return MappingProxyType({})


@dataclass(frozen=True)
class Route:
    """Where requests below one path prefix of a host go, and their terms.

    Parameters
    ----------
    name : str
        Name in the declared document.
    host, path_prefix : str
        What the route matches.
    weight_by_service : dict of str to float
        Share of the requests for each service.
    idempotent : bool
        Whether a request may run more than once.
    streaming : bool
        Whether the answer is a stream of server-sent events.
    resumable : bool
        Whether a broken stream may go on at another target.
    timeout : float
        Longest time until the answer ends, seconds.
    latency_objective : float
        Seconds to the answer, or to a stream's first event.
    gap_objective : float
        Longest pause between the events of a stream, seconds.
    max_attempts : int
        Targets to which one request may be sent.
    tier : int
        Rank; 0 is served first.
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
    """What is declared of a pool of targets.

    Parameters
    ----------
    name : str
        Name of the service.
    is_engine : bool
        Whether its targets generate tokens.
    max_connections : int
        Connections that one target accepts from all callers together.
    cold_rate : float
        Requests a second that a target bears while it is cold; 0 is no limit.
    tokens_per_event : float
        Tokens in one event of a stream.
    """

    name: str
    is_engine: bool = False
    max_connections: int = 64
    cold_rate: float = 0.0
    tokens_per_event: float = 1.0


@dataclass(frozen=True)
class WorkspaceTerms:
    """A workspace and what its plan allows.

    Parameters
    ----------
    name : str
        Name that targets are told.
    tier : int or None
        Rank of its requests, before that of the route; None has none.
    rate : float
        Sustained draw a second, in tokens or requests; 0 is unlimited.
    burst : float
        Draw that may be saved up.
    counts_tokens : bool
        Whether the draw is counted in tokens.
    default_tokens : float
        Tokens charged for a request that states none.
    """

    name: str
    tier: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: float = 1.0


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send.

    Parameters
    ----------
    max_body_bytes : int
        Largest body.
    """

    max_body_bytes: int = 1 << 22


@dataclass(frozen=True)
class Catalogue:
    """One version of all that operators declare.

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
        Whether callers need API keys at all.
    """

    version: int = 0
    routes_by_host: Mapping[str, Mapping[str, Route]] = field(default_factory=empty)
    service_by_name: Mapping[str, ServiceTerms] = field(default_factory=empty)
    workspace_by_key: Mapping[str, WorkspaceTerms] = field(default_factory=empty)
    requires_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host, path):
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
            Host header of the request.
        path : str
            Path without its query.
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
    """One target as the platform lists it.

    Parameters
    ----------
    id : str
        Identity of this incarnation.
    service : str
        Service that it belongs to.
    host, port : str, int
        Where it is reached.
    data_centre : str
        Where it runs.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it takes no new work.
    cold_until : float
        Monotonic time at which it is warm.
    started_at : int
        Unix milliseconds of its start.
    sequence : int
        Number of its report, from its start.
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
