"""Messages between instances and their form on the wire.

A message is a MessagePack array that begins with the format and the kind, so
that instances of the next version can tell what they cannot read.
"""

from dataclasses import dataclass, field

import msgpack

from ..errors import PeerError

FORMAT = 1
REPORT = 0
ROSTER = 1
MILLISECONDS = 1000.0
MAX_BYTES = 60_000


@dataclass(frozen=True)
class WaitingHere:
    """Requests of one tier that wait at the sender.

    Parameters
    ----------
    age : float
        Seconds for which the first of them has waited.
    """

    service: str
    tier: tuple[int, ...]
    count: int
    age: float


@dataclass(frozen=True)
class Report:
    """What one instance runs, holds back and knows.

    Parameters
    ----------
    instance : str
        Sender.
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
    drawn_by_workspace : dict of str to float
        Draws on allowances since its start.
    """

    instance: str
    incarnation: int
    number: int
    leaving: bool = False
    revision: int = 0
    evidence_age: float = 0.0
    running_by_target: dict[str, int] = field(default_factory=dict)
    waiting: tuple[WaitingHere, ...] = ()
    drawn_by_workspace: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Roster:
    """Addresses of the instances that the sender has heard of lately."""

    instance: str
    addresses: tuple[str, ...]


def encode(message):
    """Return the bytes of a `Report` or `Roster`."""
    if isinstance(message, Roster):
        return msgpack.packb([FORMAT, ROSTER, message.instance, message.addresses])
    return msgpack.packb(
        [
            FORMAT,
            REPORT,
            message.instance,
            message.incarnation,
            message.number,
            message.leaving,
            message.revision,
            round(min(message.evidence_age, 1e6) * MILLISECONDS),
            message.running_by_target,
            [
                [part.service, part.tier, part.count, round(part.age * MILLISECONDS)]
                for part in message.waiting
            ],
            {name: round(drawn) for name, drawn in message.drawn_by_workspace.items()},
        ]
    )


def decode(data):
    """Return the `Report` or `Roster` in a datagram.

    Raises
    ------
    PeerError
        If it cannot be read.
    """
    try:
        form, kind, instance, *rest = msgpack.unpackb(data)
        if form != FORMAT or kind not in (REPORT, ROSTER):
            raise PeerError(f"a message of form {form} and kind {kind}")
        if kind == ROSTER:
            return Roster(instance, tuple(rest[0]))
        incarnation, number, leaving, revision, age, running, waiting, drawn = rest
        return Report(
            instance,
            incarnation,
            number,
            leaving,
            revision,
            age / MILLISECONDS,
            running,
            tuple(
                WaitingHere(service, tuple(tier), count, waited / MILLISECONDS)
                for service, tier, count, waited in waiting
            ),
            drawn,
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise PeerError(f"a message that cannot be read: {error}") from error
