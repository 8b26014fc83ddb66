"""A caller's request as a gateway handles it."""

from dataclasses import dataclass, field
from functools import cached_property

import xxhash

from ..catalogue import Route, WorkspaceTerms
from ..platform.front import CallerHeaders
from ..presence import CallerConnection


@dataclass(eq=False)
class GatewayRequest:
    """A request after routing and authentication.

    Parameters
    ----------
    service : str
        Service chosen for it.
    workspace : WorkspaceTerms or None
        Workspace of its API key; None if the route needs no key.
    path : str
        Path and query as the caller sent them.
    raw_headers : tuple of (str, str)
        All headers of the caller.
    arrived_at, deadline : float
        Monotonic times at which it arrived and at which its time limit ends.
    tokens_per_event : float
        Tokens in one event of its stream.
    caller_connection : CallerConnection
        Tells whether the caller has disconnected.

    Attributes
    ----------
    attempted_targets : list of str
        Ids of the targets that it was dispatched to.
    may_have_run : bool
        Whether one of them may have run it.
    version : str
        Software version of the targets that may run it, once a stream has begun;
        empty if all may.
    relayed_by : str
        Instance that received the request and passed it on; empty if this one did.
    relay_last_event_id : str or None
        Id of the event after which that instance wants a stream to go on.
    attempts_elsewhere : int
        Number of the attempted targets that other instances sent it to.
    """

    request_id: str
    route: Route
    service: str
    workspace: WorkspaceTerms | None
    caller_headers: CallerHeaders
    method: str
    path: str
    raw_headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_at: float
    deadline: float
    tokens_per_event: float = 1.0
    caller_connection: CallerConnection = field(
        default_factory=CallerConnection, repr=False
    )
    attempted_targets: list[str] = field(default_factory=list)
    may_have_run: bool = False
    version: str = ""
    relayed_by: str = ""
    relay_last_event_id: str | None = None
    attempts_elsewhere: int = 0

    @property
    def attempted_here(self):
        """Targets to which this instance sent it, separated by commas."""
        return ",".join(self.attempted_targets[self.attempts_elsewhere :])

    @cached_property
    def fingerprint(self):
        """Hash of what a repeat of the request has in common with it.

        Its id and time limit differ, and it may arrive at another gateway.
        """
        workspace = self.workspace.name if self.workspace else ""
        head = "\0".join(
            (workspace, self.caller_headers.host, self.method, self.path, "")
        )
        digest = xxhash.xxh3_64(head.encode())
        digest.update(self.body)
        return digest.intdigest()

    @cached_property
    def fingerprints(self):
        """Hashes by which requests that crash targets are recognised.

        Its own, then one for each part of its prompt that it may share with others.
        """
        parts = self.caller_headers.prompt_parts[:-1]
        return (self.fingerprint, *map(fingerprint_part, dict.fromkeys(parts)))

    def part_with(self, fingerprint):
        """Return the id of the part of the prompt with a fingerprint, or None."""
        parts = self.caller_headers.prompt_parts
        return next(
            (part for part in parts if fingerprint_part(part) == fingerprint), None
        )

    @property
    def tier(self):
        """Rank: the workspace's tier first, then the route's."""
        if self.workspace is None or self.workspace.tier is None:
            return (self.route.tier, self.route.tier)
        return (self.workspace.tier, self.route.tier)

    @property
    def expected_events(self):
        """Expected number of events in the stream; 0 if unknown."""
        if not self.route.streaming or self.caller_headers.expected_tokens is None:
            return 0.0
        return self.caller_headers.expected_tokens / self.tokens_per_event

    @property
    def expected_tokens(self):
        """Tokens that it is expected to take on an engine; 0 if unknown.

        The caller's estimate of the output counts up to the most that it allows.
        """
        caller_headers = self.caller_headers
        if caller_headers.input_tokens is None:
            return 0
        most = caller_headers.output_tokens or 0
        estimate = caller_headers.expected_tokens
        return caller_headers.input_tokens + (
            most if estimate is None else min(estimate, most)
        )

    @property
    def max_tokens(self):
        """Most tokens that the request may use, or None if it states no counts."""
        caller_headers = self.caller_headers
        if caller_headers.input_tokens is None:
            return None
        return caller_headers.input_tokens + (caller_headers.output_tokens or 0)

    @property
    def charge(self):
        """Tokens or requests that it consumes of its workspace's allowance."""
        if self.workspace is None:
            return 0.0
        if not self.workspace.counts_tokens:
            return 1.0
        return (
            self.workspace.default_tokens
            if self.max_tokens is None
            else self.max_tokens
        )


def fingerprint_part(part):
    """Return the hash of a part of prompts, given by its id."""
    return xxhash.xxh3_64_intdigest(f"prompt part\0{part}".encode())


def format_fingerprint(fingerprint):
    """Return a request's fingerprint as it stands in the logs."""
    return f"{fingerprint:016x}"


@dataclass(frozen=True)
class Dispatch:
    """The request as sent to one target, with the attributes that `Call` reads."""

    method: str
    target_path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
