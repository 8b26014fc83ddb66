"""Messages between instances."""

from dataclasses import dataclass, field

from ..placement.allowance import Scope
from ..placement.health import TargetStats
from ..placement.outlook import CellLoad


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits at the sender for a place.

    Parameters
    ----------
    number : int
        Number of the request at the sender.
    service : str
        Service that it waits for.
    tier : tuple of int
        Its rank.
    age : float
        Seconds since it arrived.
    attempted_targets : tuple of str
        Targets that it was sent to already.
    coordinator : str
        Instance that is asked for the place.
    expected_events : float
        Expected number of events in its stream; 0 if not known.
    time_left : float
        Seconds until its answer must be whole.
    cell_data_centre : str
        Data centre of the cell that it waits for; empty for the whole service.
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


@dataclass(frozen=True)
class SharedState:
    """What changes slowly and concerns the whole fleet.

    Parameters
    ----------
    revision : int
        Revision of the sender's configuration.
    evidence_age : float
        Seconds since that was surely the newest.
    store_revision : int
        Revision up to which the sender has read the store.
    scope : Scope
        Whose draws are told.
    consumed_by_workspace : dict of str to float
        Draws on allowances since the sender's start.
    cells : tuple of CellLoad
        Loads of the cells that the sender coordinates or has heard of.
    """

    revision: int = 0
    evidence_age: float = 0.0
    store_revision: int = 0
    scope: Scope = Scope.OWN
    consumed_by_workspace: dict[str, float] = field(default_factory=dict)
    cells: tuple[CellLoad, ...] = ()


@dataclass(frozen=True)
class Report:
    """What one instance runs, holds back and knows.

    Parameters
    ----------
    instance, data_centre : str
        Sender, and where it runs.
    incarnation : int
        Unix milliseconds of its start.
    sequence_number : int
        Counts its reports; older ones that arrive late are dropped.
    leaving : bool
        Whether it is about to stop.
    running_by_target : dict of str to dict of int to int
        Requests of the sender, by target and route tier.
    latest_grant_by_coordinator : dict of str to int
        Newest grant that it has received from each coordinator.
    paused_targets : tuple of str
        Targets that the sender does not use for now.
    shared_state : SharedState or None
        Told now and then.
    stats_by_target : dict of str to TargetStats or None
        How targets have fared at the sender; told now and then.
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


@dataclass(frozen=True)
class Grant:
    """A place for a request that waits at the receiver.

    Parameters
    ----------
    number : int
        Number of the grant; rises with each grant of a coordinator.
    request : int
        Number of the request at the receiver.
    target : str
        Where it may run.
    """

    number: int
    request: int
    target: str


@dataclass(frozen=True)
class ExpectedWait:
    """The wait of a new request, as its coordinator expects it, in seconds."""

    service: str
    cell_data_centre: str
    tier: tuple[int, ...]
    seconds: float


@dataclass(frozen=True)
class Grants:
    """A coordinator's answer to a report; it may grant nothing yet."""

    instance: str
    grants: tuple[Grant, ...] = ()
    waits: tuple[ExpectedWait, ...] = ()


@dataclass(frozen=True)
class ReportRequest:
    """Asks for a report at once; sent by a new coordinator."""

    instance: str


@dataclass(frozen=True)
class Member:
    """An instance that somebody has heard of.

    Parameters
    ----------
    instance : str
        Its name; empty if only the address is known.
    capacity : float
        Relative processor and link.
    age : float
        Seconds since it was heard.
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
    """Instances that the sender has heard of lately, itself first.

    Parameters
    ----------
    joining : bool
        Whether the sender has just started and wants to hear of all.
    """

    instance: str
    members: tuple[Member, ...]
    joining: bool = False
