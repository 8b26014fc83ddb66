"""Service kinds: base class of the plug-ins that implement a target's protocol."""

import abc
from dataclasses import dataclass, field
from typing import ClassVar

from .plugins import Plugin
from .presence import CallerConnection

# Idempotent methods according to RFC 9110 section 9.2.2.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


@dataclass(frozen=True)
class IncomingRequest:
    """A caller's request after authentication.

    Parameters
    ----------
    path : str
        Path at the target, with a leading slash.
    headers : tuple of (str, str)
        End-to-end headers; hop-by-hop headers are removed.
    caller_connection : CallerConnection
        Tells when the caller disconnects.
    """

    request_id: str
    workspace: str
    tier: int
    service: str
    method: str
    path: str
    query: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    key: str | None = None
    caller_connection: CallerConnection = field(
        default_factory=CallerConnection, compare=False, repr=False
    )

    @property
    def target_path(self):
        """Path and query string that are sent to the target."""
        return f"{self.path}?{self.query}" if self.query else self.path


@dataclass(frozen=True)
class Size:
    """Estimated size of a request in tokens, and the hash of its prompt prefix."""

    input_tokens: int = 0
    output_tokens: int = 0
    prefix_hash: int = 0


@dataclass
class Usage:
    """Tokens that a run has used so far."""

    input_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True)
class Load:
    """Load of a target according to its own report."""

    epoch: str
    running: int
    waiting: int


@dataclass
class UsageMeter:
    """Extracts the token usage from a response; this base class counts nothing."""

    usage: Usage = field(default_factory=Usage)

    def feed(self, chunk):
        """Process the next bytes of the response."""


class ServiceKind(Plugin, abc.ABC):
    """Protocol-specific behaviour of a kind of service."""

    registry: ClassVar[dict[str, type]] = {}
    load_path: ClassVar[str] = "/metrics"
    preemptible: ClassVar[bool] = False

    def check(self, request):  # noqa: B027
        """Raise `RequestError` if the request is invalid for this kind of service."""

    def size(self, request):
        """Return the estimated size of a request."""
        return Size()

    def is_idempotent(self, service, request):
        """Return whether a request may be retried after an unknown outcome."""
        for route in service.routes:
            if route.method == request.method and route.path == request.path:
                return route.idempotent
        return request.method in IDEMPOTENT_METHODS

    def meter(self):
        """Return a new `UsageMeter` for one response."""
        return UsageMeter()

    @abc.abstractmethod
    def parse_load(self, text):
        """Parse the text served under `load_path` into a `Load`."""
