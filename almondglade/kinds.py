"""Kinds of service: the base of the plug-ins that know a target's protocol."""

import abc
from dataclasses import dataclass, field
from typing import ClassVar

from .plugins import Plugin
from .presence import CallerConnection

# Methods that RFC 9110 section 9.2.2 calls idempotent.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


@dataclass(frozen=True)
class IncomingRequest:
    """A caller's request after authentication.

    Parameters
    ----------
    path : str
        Path at the target, with its leading slash.
    headers : tuple of (str, str)
        End-to-end headers only.
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
        """Path and query to send to the target."""
        return f"{self.path}?{self.query}" if self.query else self.path


@dataclass(frozen=True)
class Size:
    """Estimated size of a request, in tokens, and its prompt prefix's hash."""

    input_tokens: int = 0
    output_tokens: int = 0
    prefix_hash: int = 0


@dataclass
class Usage:
    """What a run has used so far, in tokens."""

    input_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True)
class Load:
    """A target's load by its own report."""

    epoch: str
    running: int
    waiting: int


@dataclass
class UsageMeter:
    """Counts what passes through an answer; the base counts nothing."""

    usage: Usage = field(default_factory=Usage)

    def feed(self, chunk):
        """Take in the next bytes of the answer."""


class ServiceKind(Plugin, abc.ABC):
    """What the scheduler has to know of a kind of service."""

    registry: ClassVar[dict[str, type]] = {}
    load_path: ClassVar[str] = "/metrics"
    preemptible: ClassVar[bool] = False

    def check(self, request):  # noqa: B027
        """Raise `RequestError` if the target could not use the request."""

    def size(self, request):
        """Return the estimated size of a request."""
        return Size()

    def is_idempotent(self, service, request):
        """Tell whether a request may be sent again after an unknown outcome."""
        for route in service.routes:
            if route.method == request.method and route.path == request.path:
                return route.idempotent
        return request.method in IDEMPOTENT_METHODS

    def meter(self):
        """Return a new meter for one answer."""
        return UsageMeter()

    @abc.abstractmethod
    def parse_load(self, text):
        """Return the `Load` in the text served under `load_path`."""
