"""A caller's request on its way through a gateway."""

from dataclasses import dataclass, field

from ..catalogue import Route, WorkspaceTerms
from ..platform.front import CallerHeaders
from ..presence import Presence


@dataclass(eq=False)
class GatewayRequest:
    """A request after routing and authentication.

    Parameters
    ----------
    arrived, deadline : float
        Monotonic seconds of its arrival and of the end of its time.
    service : str
        Service that it goes to.
    tokens_per_event : float
        Tokens in one event of its stream.
    path : str
        Path and query as the caller sent them.
    pairs : tuple of (str, str)
        All headers of the caller.
    presence : Presence
        Tells when the caller has gone away.

    Attributes
    ----------
    targets : list of str
        Targets that it was sent to.
    may_have_run : bool
        Whether one of them may have run it.
    """

    request_id: str
    route: Route
    service: str
    workspace: WorkspaceTerms | None
    caller_headers: CallerHeaders
    method: str
    path: str
    pairs: tuple[tuple[str, str], ...]
    body: bytes
    arrived: float
    deadline: float
    tokens_per_event: float = 1.0
    presence: Presence = field(default_factory=Presence, repr=False)
    targets: list[str] = field(default_factory=list)
    may_have_run: bool = False

    @property
    def tier(self):
        """Rank by the workspace's tier first, then by the route's."""
        if self.workspace is None or self.workspace.tier is None:
            return (self.route.tier, self.route.tier)
        return (self.workspace.tier, self.route.tier)

    @property
    def events(self):
        """Expected events of the stream; 0 if they are not known."""
        if not self.route.streaming or self.caller_headers.expected_tokens is None:
            return 0.0
        return self.caller_headers.expected_tokens / self.tokens_per_event

    @property
    def size(self):
        """Tokens that the request may use, or None if it states none."""
        caller_headers = self.caller_headers
        if caller_headers.input_tokens is None:
            return None
        return caller_headers.input_tokens + (caller_headers.output_tokens or 0)

    @property
    def charge(self):
        """What the request draws on its workspace's allowance."""
        if self.workspace is None:
            return 0.0
        if not self.workspace.counts_tokens:
            return 1.0
        return self.workspace.plain_tokens if self.size is None else self.size


@dataclass(frozen=True)
class Dispatch:
    """What is sent to one target: the part of a request that `Call` reads."""

    method: str
    target_path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
