"""Messages of the life of a permit, from demand to completion, and load reports."""

import enum
from dataclasses import dataclass


class Result(enum.Enum):
    """How a permit ended.

    With ``UNUSED`` nothing was dispatched, with ``REFUSED`` the request could not
    be sent to the target, and with ``BROKEN`` the run failed after that.
    """

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
        Priority class; 0 is served first.
    input_tokens, output_tokens : int
        Estimated size; 0 for plain services.
    prefix : int
        Hash of workspace and prompt prefix; 0 if there is none.
    fingerprint : int
        Hash of workspace, service and body, to recognise a repeated request.
    max_wait : float
        Seconds the request may wait for its grant.
    preemptible : bool
        Whether its run may be cancelled for a higher tier.
    avoid : tuple of str
        Targets on which an earlier attempt failed before the request was sent.
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
        """Tokens charged to the plan until the actual count is known."""
        return self.input_tokens + self.output_tokens


@dataclass(frozen=True)
class TargetState:
    """What a coordinator has learnt about a target, for the next coordinator.

    Parameters
    ----------
    target : str
        Target id.
    epoch : str
        Identifies one start of the target's process; a change means a cold start.
    limit : float
        Concurrency limit learnt so far.
    baseline : float
        Seconds per token of an unloaded run; 0 if unknown.
    running : int
        Requests that the coordinator counted as in progress there, whoever holds
        their permits.
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
    term : str
        Identifies one run of the coordinator: its instance id, a slash and its
        incarnation.
    heard_at : float
        Latest reading of the entry's clock that the coordinator had received when
        it granted the permit. It bounds the permit's age on the entry's own clock.
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
    """The final response to a demand that gets no permit.

    Parameters
    ----------
    retry_after : float
        Seconds after which the caller may try again.
    """

    request_id: str
    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True)
class Preemption:
    """An order to cancel a running request in favour of a higher tier.

    Parameters
    ----------
    retry_after : float
        Seconds after which the caller may try again.
    """

    request_id: str
    retry_after: float


@dataclass(frozen=True)
class Withdrawal:
    """Withdraws a demand whose caller no longer waits."""

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
        Seconds from dispatch to the first token and to the end.
    unframed : bool
        Whether only the end of the connection marked the end of the response, so that
        it may be incomplete.
    """

    request_id: str
    pool: str
    result: Result
    input_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    first_token: float = 0.0
    duration: float = 0.0
    unframed: bool = False


@dataclass(frozen=True)
class LoadReport:
    """A target's load as reported by itself.

    Parameters
    ----------
    age : float
        Known lag of the report, in seconds; 0 if unknown.
    """

    target: str
    epoch: str
    running: int
    waiting: int
    age: float = 0.0
