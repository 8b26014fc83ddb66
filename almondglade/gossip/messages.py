"""Messages between instances and their form on the wire.

A message is a MessagePack array that begins with the format and the kind, so
that instances of the next version can tell what they cannot read.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

import msgpack

from ..errors import PeerError
from ..placement.allowance import Scope
from ..placement.cells import Cell
from ..placement.health import TargetView
from ..placement.outlook import CellLoad

FORMAT = 2
REPORT = 0
ROSTER = 1
GRANTS = 2
QUESTION = 3
MILLISECONDS = 1000.0
# Evidence older than this is as good as none; keeps the number small.
MAX_AGE_SECONDS = 1e6


@dataclass(frozen=True)
class WaitingHere:
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
    avoid : tuple of str
        Targets that it was sent to already.
    coordinator : str
        Instance that is asked for the place.
    events : float
        Expected length of its stream.
    time_left : float
        Seconds until its answer must be whole.
    part : str
        Data centre of the cell that it waits for; empty for the whole service.
    """

    number: int
    service: str
    tier: tuple[int, ...]
    age: float
    avoid: tuple[str, ...] = ()
    coordinator: str = ""
    events: float = 0.0
    time_left: float = 0.0
    part: str = ""


@dataclass(frozen=True)
class Facts:
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
    drawn_by_workspace : dict of str to float
        Draws on allowances since the sender's start.
    cells : tuple of CellLoad
        Loads of the cells that the sender coordinates or has heard of.
    """

    revision: int = 0
    evidence_age: float = 0.0
    store_revision: int = 0
    scope: Scope = Scope.OWN
    drawn_by_workspace: dict[str, float] = field(default_factory=dict)
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
    number : int
        Counts its reports; older ones that arrive late are dropped.
    leaving : bool
        Whether it is about to stop.
    running_by_target : dict of str to dict of int to int
        Requests of the sender, by target and kind.
    grant_by_coordinator : dict of str to int
        Newest grant that it has received from each coordinator.
    paused : tuple of str
        Targets that the sender does not use for now.
    facts : Facts or None
        Told now and then.
    view_by_target : dict of str to TargetView or None
        How targets have fared at the sender; told now and then.
    """

    instance: str
    data_centre: str
    incarnation: int
    number: int
    leaving: bool = False
    running_by_target: dict[str, dict[int, int]] = field(default_factory=dict)
    waiting: tuple[WaitingHere, ...] = ()
    grant_by_coordinator: dict[str, int] = field(default_factory=dict)
    paused: tuple[str, ...] = ()
    facts: Facts | None = None
    view_by_target: dict[str, TargetView] | None = None


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
    part: str
    tier: tuple[int, ...]
    seconds: float


@dataclass(frozen=True)
class Grants:
    """A coordinator's answer to a report; it may grant nothing yet."""

    instance: str
    grants: tuple[Grant, ...] = ()
    waits: tuple[ExpectedWait, ...] = ()


@dataclass(frozen=True)
class Question:
    """Asks for a report at once; sent by a new coordinator."""

    instance: str


@dataclass(frozen=True)
class Contact:
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
class Roster:
    """Instances that the sender has heard of lately, itself first.

    Parameters
    ----------
    joining : bool
        Whether the sender has just started and wants to hear of all.
    """

    instance: str
    contacts: tuple[Contact, ...]
    joining: bool = False


@singledispatch
def encode(message):
    """Return the bytes of a message."""
    raise TypeError(f"no such message: {message!r}")


@encode.register
def _(message: Roster):
    contacts = [
        [
            contact.address,
            contact.instance,
            contact.data_centre,
            contact.capacity,
            _milliseconds(contact.age),
            contact.leaving,
        ]
        for contact in message.contacts
    ]
    return msgpack.packb([FORMAT, ROSTER, message.instance, contacts, message.joining])


@encode.register
def _(message: Question):
    return msgpack.packb([FORMAT, QUESTION, message.instance])


@encode.register
def _(message: Grants):
    grants = [[grant.number, grant.request, grant.target] for grant in message.grants]
    waits = [
        [wait.service, wait.part, wait.tier, _milliseconds(wait.seconds)]
        for wait in message.waits
    ]
    return msgpack.packb([FORMAT, GRANTS, message.instance, grants, waits])


@encode.register
def _(message: Report):
    return msgpack.packb(
        [
            FORMAT,
            REPORT,
            message.instance,
            message.data_centre,
            message.incarnation,
            message.number,
            message.leaving,
            message.running_by_target,
            [
                [
                    entry.number,
                    entry.service,
                    entry.tier,
                    _milliseconds(entry.age),
                    entry.avoid,
                    entry.coordinator,
                    round(entry.events),
                    _milliseconds(entry.time_left),
                    entry.part,
                ]
                for entry in message.waiting
            ],
            message.grant_by_coordinator,
            message.paused,
            _pack_facts(message.facts) if message.facts is not None else None,
            _pack_views(message.view_by_target)
            if message.view_by_target is not None
            else None,
        ]
    )


def _pack_views(view_by_target):
    return {
        target: [
            round(view.event_seconds * MILLISECONDS, 1),
            round(view.slowness, 2),
            view.answers,
            view.failures,
        ]
        for target, view in view_by_target.items()
    }


def _unpack_views(views):
    return {
        target: TargetView(pace / MILLISECONDS, slowness, answers, failures)
        for target, (pace, slowness, answers, failures) in views.items()
    }


def _pack_facts(facts):
    return [
        facts.revision,
        _milliseconds(facts.evidence_age),
        facts.store_revision,
        int(facts.scope),
        {name: round(drawn) for name, drawn in facts.drawn_by_workspace.items()},
        [
            [
                load.cell.service,
                load.cell.data_centre,
                load.free,
                load.places,
                _milliseconds(load.age),
            ]
            for load in facts.cells
        ],
    ]


def _milliseconds(seconds):
    return round(min(seconds, MAX_AGE_SECONDS) * MILLISECONDS)


def decode(data):
    """Return the message in a datagram.

    Raises
    ------
    PeerError
        If it cannot be read.
    """
    try:
        form, kind, instance, *rest = msgpack.unpackb(data, strict_map_key=False)
        if form != FORMAT or kind not in DECODERS:
            raise PeerError(f"a message of form {form} and kind {kind}")
        return DECODERS[kind](instance, *rest)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise PeerError(f"a message that cannot be read: {error}") from error


def _decode_report(
    instance,
    data_centre,
    incarnation,
    number,
    leaving,
    running,
    waiting,
    grants,
    paused,
    facts,
    views,
):
    return Report(
        instance,
        data_centre,
        incarnation,
        number,
        leaving,
        running,
        tuple(
            WaitingHere(
                request,
                service,
                tuple(tier),
                waited / MILLISECONDS,
                tuple(avoid),
                coordinator,
                events,
                left / MILLISECONDS,
                part,
            )
            for (
                request,
                service,
                tier,
                waited,
                avoid,
                coordinator,
                events,
                left,
                part,
            ) in waiting
        ),
        grants,
        tuple(paused),
        _unpack_facts(*facts) if facts is not None else None,
        _unpack_views(views) if views is not None else None,
    )


def _unpack_facts(revision, age, store_revision, scope, drawn, cells):
    return Facts(
        revision,
        age / MILLISECONDS,
        store_revision,
        Scope(scope),
        drawn,
        tuple(
            CellLoad(Cell(service, part), free, places, waited / MILLISECONDS)
            for service, part, free, places, waited in cells
        ),
    )


def _decode_roster(instance, contacts, joining):
    return Roster(
        instance,
        tuple(
            Contact(address, name, data_centre, capacity, age / MILLISECONDS, leaving)
            for address, name, data_centre, capacity, age, leaving in contacts
        ),
        joining,
    )


def _decode_grants(instance, grants, waits):
    return Grants(
        instance,
        tuple(Grant(*entry) for entry in grants),
        tuple(
            ExpectedWait(service, part, tuple(tier), wait / MILLISECONDS)
            for service, part, tier, wait in waits
        ),
    )


DECODERS: dict[int, Callable] = {
    REPORT: _decode_report,
    ROSTER: _decode_roster,
    GRANTS: _decode_grants,
    QUESTION: Question,
}
