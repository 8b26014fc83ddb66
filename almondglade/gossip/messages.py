"""Messages between instances and their form on the wire.

A message is a MessagePack array that begins with the format and the kind, so
that instances of the next version can tell what they cannot read.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

import msgpack

from ..errors import PeerError

FORMAT = 1
REPORT = 0
ROSTER = 1
GRANTS = 2
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
    """

    number: int
    service: str
    tier: tuple[int, ...]
    age: float
    avoid: tuple[str, ...] = ()
    coordinator: str = ""
    events: float = 0.0
    time_left: float = 0.0


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
    revision : int
        Revision of its configuration.
    evidence_age : float
        Seconds since that was surely the newest.
    running_by_target : dict of str to dict of int to int
        Requests of the sender, by target and kind.
    drawn_by_workspace : dict of str to float
        Draws on allowances since its start.
    grant_by_coordinator : dict of str to int
        Newest grant that it has received from each coordinator.
    paused : tuple of str
        Targets that the sender does not use for now.
    event_seconds_by_target : dict of str to float
        Pace of the streams that the sender has seen.
    """

    instance: str
    data_centre: str
    incarnation: int
    number: int
    leaving: bool = False
    revision: int = 0
    evidence_age: float = 0.0
    running_by_target: dict[str, dict[int, int]] = field(default_factory=dict)
    waiting: tuple[WaitingHere, ...] = ()
    drawn_by_workspace: dict[str, float] = field(default_factory=dict)
    grant_by_coordinator: dict[str, int] = field(default_factory=dict)
    paused: tuple[str, ...] = ()
    event_seconds_by_target: dict[str, float] = field(default_factory=dict)


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
class Grants:
    """A coordinator's answer to a report; it may grant nothing yet."""

    instance: str
    grants: tuple[Grant, ...] = ()


@dataclass(frozen=True)
class Roster:
    """Addresses of the instances that the sender has heard of lately."""

    instance: str
    addresses: tuple[str, ...]


@singledispatch
def encode(message):
    """Return the bytes of a message."""
    raise TypeError(f"no such message: {message!r}")


@encode.register
def _(message: Roster):
    return msgpack.packb([FORMAT, ROSTER, message.instance, message.addresses])


@encode.register
def _(message: Grants):
    grants = [[grant.number, grant.request, grant.target] for grant in message.grants]
    return msgpack.packb([FORMAT, GRANTS, message.instance, grants])


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
            message.revision,
            round(min(message.evidence_age, MAX_AGE_SECONDS) * MILLISECONDS),
            message.running_by_target,
            [
                [
                    entry.number,
                    entry.service,
                    entry.tier,
                    round(entry.age * MILLISECONDS),
                    entry.avoid,
                    entry.coordinator,
                    round(entry.events),
                    round(entry.time_left * MILLISECONDS),
                ]
                for entry in message.waiting
            ],
            {name: round(drawn) for name, drawn in message.drawn_by_workspace.items()},
            message.grant_by_coordinator,
            message.paused,
            {
                target: round(seconds * MILLISECONDS, 1)
                for target, seconds in message.event_seconds_by_target.items()
            },
        ]
    )


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
    revision,
    age,
    running,
    waiting,
    drawn,
    grants,
    paused,
    paces,
):
    return Report(
        instance,
        data_centre,
        incarnation,
        number,
        leaving,
        revision,
        age / MILLISECONDS,
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
            )
            for request, service, tier, waited, avoid, coordinator, events, left in (
                waiting
            )
        ),
        drawn,
        grants,
        tuple(paused),
        {target: pace / MILLISECONDS for target, pace in paces.items()},
    )


def _decode_roster(instance, addresses):
    return Roster(instance, tuple(addresses))


def _decode_grants(instance, grants):
    return Grants(instance, tuple(Grant(*entry) for entry in grants))


DECODERS: dict[int, Callable] = {
    REPORT: _decode_report,
    ROSTER: _decode_roster,
    GRANTS: _decode_grants,
}
