"""Typed messages between an entry and the coordinator of a pool.

Times are in seconds, sizes in tokens. The wire form is in ``peers``.
"""

import enum
import math
from dataclasses import dataclass, field


class Result(enum.Enum):
    """How a permit ended."""

    UNUSED = "unused"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"


class RefusalReason(enum.Enum):
    """Why a coordinator refused a demand."""

    OVERLOADED = "overloaded"
    PLAN_LIMIT = "plan-limit"
    NO_TARGET = "no-target"
    SUSPECT = "suspect"
    NO_COORDINATOR = "no-coordinator"
    STOPPING = "stopping"


@dataclass(frozen=True)
class Demand:
    """A request that asks for a permit.

    Parameters
    ----------
    request_id : str
        Unique over all instances.
    pool : str
        Service whose targets may run the request.
    workspace : str
        Workspace whose plan is charged.
    tier : int
        0 is served first.
    input_tokens, output_tokens : int
        Estimated size; 0 for plain services.
    prefix : int
        Hash of workspace and prompt prefix; 0 when there is none.
    fingerprint : int
        Hash of workspace, service and body, to recognise a repeat.
    max_wait : float
        Seconds the request may wait for its grant.
    preemptible : bool
        Whether its run may be cancelled for a higher tier.
    avoid : tuple of str
        Targets that already failed this request before dispatch.
    """

    request_id: str
    pool: str
    workspace: str
    tier: int
    input_tokens: int = 0
    output_tokens: int = 0
    prefix: int = 0
    fingerprint: int = 0
    max_wait: float = 10.0
    preemptible: bool = False
    avoid: tuple[str, ...] = ()

    @property
    def tokens(self):
        """Tokens charged against the plan until the true count is known."""
        return self.input_tokens + self.output_tokens


@dataclass(frozen=True)
class TargetState:
    """What has been learnt of a target, carried to its next coordinator.

    Parameters
    ----------
    target : str
        Target id.
    epoch : str
        Start marker of the target's process; a change means a cold start.
    limit : float
        Concurrency limit learnt so far.
    baseline : float
        Seconds per token of an unloaded run; 0 when not known.
    running : int
        Requests that the coordinator counted as in progress there, whoever
        holds them.
    """

    target: str
    epoch: str
    limit: float
    baseline: float = 0.0
    running: int = 0


@dataclass(frozen=True)
class Grant:
    """A permit to dispatch one request to one target.

    Parameters
    ----------
    heard_at : float
        Latest clock reading of the entry that the coordinator had seen when
        it granted; bounds the permit's age on the entry's own clock.
    """

    request_id: str
    pool: str
    permit_id: int
    term: str
    target: str
    heard_at: float
    state: TargetState


@dataclass(frozen=True)
class Refusal:
    """A final answer to a demand that gets no permit."""

    request_id: str
    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True)
class Preemption:
    """An order to cancel a running request in favour of a higher tier."""

    request_id: str
    retry_after: float


@dataclass(frozen=True)
class Withdrawal:
    """A demand whose caller no longer waits."""

    request_id: str
    pool: str


@dataclass(frozen=True)
class Completion:
    """The end of a permit.

    Parameters
    ----------
    input_tokens, cached_tokens, output_tokens : int
        As counted by the target.
    first_token, duration : float
        Seconds from dispatch.
    """

    request_id: str
    pool: str
    result: Result
    input_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    first_token: float = 0.0
    duration: float = 0.0


@dataclass(frozen=True)
class CarriedPermit:
    """A permit still running when its entry joins another coordinator."""

    demand: Demand
    target: str
    age: float


@dataclass(frozen=True)
class CarriedSpend:
    """Tokens and requests a workspace drew lately through one entry."""

    workspace: str
    tokens: float
    requests: float


@dataclass(frozen=True)
class CarriedSuspect:
    """A fingerprint whose runs broke, and the targets they broke on.

    Parameters
    ----------
    age : float
        Seconds since the latest broken run.
    """

    fingerprint: int
    targets: tuple[str, ...]
    age: float


@dataclass(frozen=True)
class Join:
    """An entry starts to use a coordinator for a pool.

    Parameters
    ----------
    counted_after : float
        Seconds until the entry's lease at its former coordinator has
        certainly ended; only then does it count towards this one's share.
    """

    pool: str
    counted_after: float = 0.0
    permits: tuple[CarriedPermit, ...] = ()
    targets: tuple[TargetState, ...] = ()
    spends: tuple[CarriedSpend, ...] = ()
    suspects: tuple[CarriedSuspect, ...] = ()


@dataclass(frozen=True)
class Leave:
    """An entry stops using a coordinator for a pool."""

    pool: str


@dataclass(frozen=True)
class Rejoin:
    """Asks an entry that its coordinator does not count to join again."""

    pool: str


@dataclass(frozen=True)
class PoolState:
    """What a coordinator lets its entries carry to the next one.

    Only what changed is sent.
    """

    pool: str
    targets: tuple[TargetState, ...] = ()
    suspects: tuple[CarriedSuspect, ...] = ()

    def changed_since(self, told):
        """Return what differs from what was told before, or None.

        Suspects are always sent whole; their ages alone are no difference.
        """
        if told is None:
            return self
        changed = tuple(set(self.targets) - set(told.targets))
        if not changed and self._suspected() == told._suspected():
            return None
        return PoolState(self.pool, changed, self.suspects)

    def _suspected(self):
        return {(s.fingerprint, s.targets) for s in self.suspects}


@dataclass(frozen=True)
class Ping:
    """A heartbeat.

    Parameters
    ----------
    sent_at : float
        Sender's monotonic clock, seconds.
    echo : float
        Latest ``sent_at`` received from the other side.
    configuration_version : int
        Version in force at the sender.
    confirmed_age : float
        Seconds since that version was known to be the newest.
    majority_age : float
        Seconds since a majority of the relays was known to be in contact.
    leaving : bool
        Whether the sender is about to stop.
    interval : float
        Seconds within which the next heartbeat follows; 0 when not known.
    """

    sent_at: float
    echo: float
    configuration_version: int
    confirmed_age: float = math.inf
    majority_age: float = math.inf
    leaving: bool = False
    interval: float = 0.0


@dataclass(frozen=True)
class ConfigurationUpdate:
    """A declared document passed on between peers."""

    version: int
    document: bytes


@dataclass(frozen=True)
class ConfigurationRequest:
    """Asks for the document in force; `version` is the one already held."""

    version: int


@dataclass(frozen=True)
class ConfigurationPart:
    """A piece of a document's compressed difference from an older one.

    Parameters
    ----------
    base_version : int
        The older document; 0 for an empty one.
    prefix, suffix : int
        Bytes at the start and the end that both documents share.
    offset, total : int
        Place of `data` in the compressed difference, and its whole length.
    checksum : int
        XXH64 of the new document.
    """

    version: int
    base_version: int
    prefix: int
    suffix: int
    offset: int
    total: int
    checksum: int
    data: bytes


@dataclass(frozen=True)
class LoadReport:
    """A target's own view of its load.

    Parameters
    ----------
    age : float
        Seconds by which the report is known to lag; 0 when unknown.
    """

    target: str
    epoch: str
    running: int
    waiting: int
    age: float = 0.0


@dataclass(frozen=True)
class Hello:
    """The first message of a link."""

    instance: str
    incarnation: str
    configuration_version: int
    protocol: int = 1
    proof: str = ""


Message = (
    Hello
    | Ping
    | Join
    | Leave
    | Demand
    | Withdrawal
    | Completion
    | Grant
    | Refusal
    | Preemption
    | ConfigurationUpdate
    | ConfigurationRequest
    | ConfigurationPart
    | Rejoin
    | PoolState
)


@dataclass
class Batch:
    """Messages sent together in one frame."""

    messages: list[Message] = field(default_factory=list)
