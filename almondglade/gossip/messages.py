"""Messages that instances exchange by gossip."""

import math
from dataclasses import dataclass, field

from ..placement.allowance import Scope
from ..placement.health import TargetStats
from ..placement.moments import SharedMoment
from ..placement.outlook import CellLoad


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits at the sender for a slot on a target.

    Parameters
    ----------
    number : int
        Number of the request on the sender.
    service : str
        Service that it waits for.
    tier : tuple of int
        Tier of the workspace, then tier of the route; the lowest is served first.
    age : float
        Seconds since it arrived.
    attempted_targets : tuple of str
        Targets to which it has been sent already.
    coordinator : str
        Instance from which the slot is requested.
    expected_events : float
        Expected number of events in its stream; 0 if not known.
    time_left : float
        Seconds until its response must be complete.
    cell_data_centre : str
        Data centre of the cell in which it waits; empty for the whole service.
    isolated_fingerprint : int
        Fingerprint of a request that must not run beside another such request; 0 if
        it may.
    version : str
        Software version of the targets that may run it; empty if all may.
    workspace : str
        Workspace that it is for; empty if it has none.
    tokens : int
        Tokens that it is expected to take on an engine; 0 if not known.
    start_within : float
        Seconds within which it must be sent to be answered within its objective;
        infinite if not known.
    return_fingerprint : int
        Fingerprint under which room may be booked for it; 0 if none is.
    """

    number: int
    service: str
    tier: tuple[int, ...]
    age: float
    attempted_targets: tuple[str, ...] = ()
    coordinator: str = ""
    expected_events: float = 0.0
    time_left: float = 0.0
    cell_data_centre: str = ""
    isolated_fingerprint: int = 0
    version: str = ""
    workspace: str = ""
    tokens: int = 0
    start_within: float = math.inf
    return_fingerprint: int = 0


@dataclass(frozen=True)
class BookedReturn:
    """Room for a caller that the sender has told when to return.

    Parameters
    ----------
    number : int
        Number of the booking on the sender.
    service : str
        Service that the request waits for.
    tier : tuple of int
        Tier of the workspace, then tier of the route.
    fingerprint : int
        What the request and its repeat have in common.
    due_in : float
        Seconds until the caller returns.
    """

    number: int
    service: str
    tier: tuple[int, ...]
    fingerprint: int
    due_in: float


@dataclass(frozen=True)
class SharedState:
    """Slowly changing state that concerns the whole fleet.

    Parameters
    ----------
    revision : int
        Revision of the store at which the configuration in use on the sender was
        written; peers of an earlier release compare it with their own.
    evidence_age : float
        Seconds since that configuration was last known to be the newest.
    scope : Scope
        Whose consumption is reported.
    consumed_by_workspace : dict of str to float
        Counters of what has been consumed of the allowances since the sender's start,
        in tokens or requests.
    cells : tuple of CellLoad
        Loads of the cells that the sender coordinates or has received from others.
    version : int
        Version of the configuration in use on the sender; 0 if it has none, or is of
        an earlier release.
    store_position : (int, int)
        Era and revision of the store up to which the sender has read it.
    """

    revision: int = 0
    evidence_age: float = 0.0
    scope: Scope = Scope.OWN
    consumed_by_workspace: dict[str, float] = field(default_factory=dict)
    cells: tuple[CellLoad, ...] = ()
    version: int = 0
    store_position: tuple[int, int] = (0, 0)


@dataclass(frozen=True)
class Report:
    """Running and waiting requests of one instance, and what it knows.

    Parameters
    ----------
    instance, data_centre : str
        The sender, and the data centre in which it runs.
    incarnation : int
        Unix milliseconds of its start.
    sequence_number : int
        Number of the report in this incarnation. Reports that arrive after a newer
        one are dropped.
    leaving : bool
        Whether it is about to stop.
    running_by_target : dict of str to dict of int to int
        Number of the sender's running requests, by target and route tier.
    waiting : tuple of WaitingRequest
        The sender's waiting requests.
    latest_grant_by_coordinator : dict of str to int
        Number of the newest grant received from each coordinator, which acknowledges
        all grants up to it.
    paused_targets : tuple of str
        Targets that the sender does not use at present.
    shared_state : SharedState or None
        Sent only in periodic reports, either to all peers or to and from relays.
    stats_by_target : dict of str to TargetStats or None
        Recent results of targets at the sender; sent only in periodic reports.
    isolated_by_target : dict of str to tuple of int
        Fingerprints of the requests that the sender runs in isolation, by target.
    booked_returns : tuple of BookedReturn
        Bookings that the sender made lately.
    sent_at : float or None
        Seconds on the sender's clock, which also runs while its host is suspended, at
        which the ages in the report are true; None if it is of an earlier release.
    moments : tuple of SharedMoment
        What targets that the receiver coordinates last said of their load.
    arrivals_by_service : dict of str to int
        Requests that have come to the sender since its start, of services that are
        split into cells; empty from earlier releases.
    """

    instance: str
    data_centre: str
    incarnation: int
    sequence_number: int
    leaving: bool = False
    running_by_target: dict[str, dict[int, int]] = field(default_factory=dict)
    waiting: tuple[WaitingRequest, ...] = ()
    latest_grant_by_coordinator: dict[str, int] = field(default_factory=dict)
    paused_targets: tuple[str, ...] = ()
    shared_state: SharedState | None = None
    stats_by_target: dict[str, TargetStats] | None = None
    isolated_by_target: dict[str, tuple[int, ...]] = field(default_factory=dict)
    booked_returns: tuple[BookedReturn, ...] = ()
    sent_at: float | None = None
    moments: tuple[SharedMoment, ...] = ()
    arrivals_by_service: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Grant:
    """A slot on a target, for a request that waits at the receiver.

    Parameters
    ----------
    number : int
        Number of the grant; increases with each grant of the coordinator.
    request : int
        Number of the request on the receiver.
    target : str
        Id of the target that has the slot.
    """

    number: int
    request: int
    target: str


@dataclass(frozen=True)
class ExpectedWait:
    """A coordinator's estimate of how long a new request of a tier would wait.

    Parameters
    ----------
    service, cell_data_centre : str
        Cell of the request; the data centre is empty for the whole service.
    tier : tuple of int
        Tier of the workspace, then tier of the route.
    seconds : float
        Expected wait.
    workspace : str or None
        The only workspace to which it applies; None for all others.
    """

    service: str
    cell_data_centre: str
    tier: tuple[int, ...]
    seconds: float
    workspace: str | None = None


@dataclass(frozen=True)
class Grants:
    """A coordinator's reply to a report.

    Parameters
    ----------
    instance : str
        The coordinator.
    grants : tuple of Grant
        May be empty; the reply then only confirms that the report arrived.
    waits : tuple of ExpectedWait
        Estimates for requests like those that the receiver has waiting.
    returns : tuple of int
        Numbers of the receiver's waiting requests for which room is booked.
    """

    instance: str
    grants: tuple[Grant, ...] = ()
    waits: tuple[ExpectedWait, ...] = ()
    returns: tuple[int, ...] = ()


@dataclass(frozen=True)
class ReportRequest:
    """Asks for an immediate report; sent by a new coordinator.

    Parameters
    ----------
    instance : str
        The sender.
    """

    instance: str


@dataclass(frozen=True)
class StartNotice:
    """Tells a new peer that the sender has just started too and knows no suspects yet.

    Parameters
    ----------
    instance : str
        The sender.
    """

    instance: str


@dataclass(frozen=True)
class CrashEvidence:
    """The end of a target while it ran a request.

    Parameters
    ----------
    target : str
        Id of the target.
    target_started_at : int
        Unix time of the target's start, milliseconds.
    started_age, ended_age : float
        Seconds since the start and the end of the run.
    """

    target: str
    target_started_at: int
    started_age: float
    ended_age: float


@dataclass(frozen=True)
class SuspectEvidence:
    """What the sender knows of a request or a part of prompts that may crash targets.

    Parameters
    ----------
    fingerprint : int
        Hash by which the request, or each request with the part, is recognised.
    crashes : tuple of CrashEvidence
        Targets that ended while they ran it.
    cleared_age : float or None
        Seconds since a run of it completed; None if the sender knows of none.
    """

    fingerprint: int
    crashes: tuple[CrashEvidence, ...] = ()
    cleared_age: float | None = None


@dataclass(frozen=True)
class SuspectReport:
    """Requests that may crash targets; sent on changes and to new peers.

    Parameters
    ----------
    instance : str
        The sender.
    suspects : tuple of SuspectEvidence
        A part of those that the sender knows, so that the message fits into one
        packet.
    """

    instance: str
    suspects: tuple[SuspectEvidence, ...]


@dataclass(frozen=True)
class OriginReport:
    """Which targets began a stream; sent at its first event, and when asked for.

    Parameters
    ----------
    instance : str
        The sender.
    request_id : str
        Id of the request that brought the first event.
    service : str
        Service of the target.
    version : str
        Version of the target's software.
    age : float
        Seconds since the first event.
    """

    instance: str
    request_id: str
    service: str
    version: str
    age: float


@dataclass(frozen=True)
class OriginQuery:
    """Asks which targets began a stream; not answered by peers that do not know.

    Parameters
    ----------
    instance : str
        The sender.
    request_id : str
        Id of the request that brought the first event.
    """

    instance: str
    request_id: str


@dataclass(frozen=True)
class NamedLimit:
    """What a target last said of its limits, as far as the sender knows.

    Parameters
    ----------
    target : str
        Id of the target.
    target_started_at : int
        Unix time of the target's start, milliseconds.
    rate : float or None
        Requests per second that it takes from all instances; None without a limit.
    rate_age : float
        Seconds since the response that named the limit was received; without a limit,
        since the request was sent whose response named none.
    refusal_limit : float or None
        Refusals in a second after which it ends; None if it is not brittle.
    refusal_limit_age : float
        The same as `rate_age`.
    refused_age : float
        Seconds since it last refused a request for want of room.
    is_rate_from_failures, is_refusal_limit_from_failures : bool
        Whether only its failures have told this.
    """

    target: str
    target_started_at: int
    rate: float | None
    rate_age: float
    refusal_limit: float | None = None
    refusal_limit_age: float = math.inf
    refused_age: float = math.inf
    is_rate_from_failures: bool = False
    is_refusal_limit_from_failures: bool = False


@dataclass(frozen=True)
class NamedLimits:
    """Limits that targets name; sent on changes and to new peers.

    Parameters
    ----------
    instance : str
        The sender.
    limits : tuple of NamedLimit
        A part of those that the sender knows, so that the message fits into one
        packet.
    """

    instance: str
    limits: tuple[NamedLimit, ...]


@dataclass(frozen=True)
class Member:
    """An entry of a member list: what the sender knows of an instance.

    Parameters
    ----------
    instance : str
        Its name; empty if only the address is known.
    capacity : float
        Relative capacity of its processor and network link.
    age : float
        Seconds since it was last heard from.
    leaving : bool
        Whether it is about to stop.
    """

    address: str
    instance: str = ""
    data_centre: str = ""
    capacity: float = 0.0
    age: float = 0.0
    leaving: bool = False


@dataclass(frozen=True)
class MemberList:
    """Instances that are alive as far as the sender knows, itself first.

    Parameters
    ----------
    instance : str
        The sender.
    members : tuple of Member
        A part of the fleet, so that the message fits into one packet.
    joining : bool
        Whether the sender has just started and asks for all members.
    """

    instance: str
    members: tuple[Member, ...]
    joining: bool = False
