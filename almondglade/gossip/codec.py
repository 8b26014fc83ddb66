"""The form of messages between instances on the wire.

A message is a MessagePack array that begins with the format and the kind, so
that instances of the next version can tell what they cannot read.
"""

from collections.abc import Callable
from functools import singledispatch

import msgpack

from ..errors import PeerError
from ..placement.allowance import Scope
from ..placement.cells import Cell
from ..placement.health import TargetStats
from ..placement.outlook import CellLoad
from .messages import (
    Contact,
    ExpectedWait,
    Grant,
    Grants,
    Report,
    ReportRequest,
    Roster,
    SharedState,
    WaitingRequest,
)

FORMAT = 2
REPORT = 0
ROSTER = 1
GRANTS = 2
REPORT_REQUEST = 3
MILLISECONDS = 1000.0
# Evidence older than this is as good as none; keeps the number small.
MAX_AGE_SECONDS = 1e6


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
def _(message: ReportRequest):
    return msgpack.packb([FORMAT, REPORT_REQUEST, message.instance])


@encode.register
def _(message: Grants):
    grants = [[grant.number, grant.request, grant.target] for grant in message.grants]
    waits = [
        [wait.service, wait.cell_data_centre, wait.tier, _milliseconds(wait.seconds)]
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
            message.sequence_number,
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
                    round(entry.expected_events),
                    _milliseconds(entry.time_left),
                    entry.cell_data_centre,
                ]
                for entry in message.waiting
            ],
            message.grant_by_coordinator,
            message.paused,
            _pack_shared_state(message.shared_state)
            if message.shared_state is not None
            else None,
            _pack_stats(message.stats_by_target)
            if message.stats_by_target is not None
            else None,
        ]
    )


def _pack_stats(stats_by_target):
    return {
        target: [
            round(stats.event_seconds * MILLISECONDS, 1),
            round(stats.slowness, 2),
            stats.finished,
            stats.failures,
        ]
        for target, stats in stats_by_target.items()
    }


def _unpack_stats(stats_by_target):
    return {
        target: TargetStats(pace / MILLISECONDS, slowness, finished, failures)
        for target, (pace, slowness, finished, failures) in stats_by_target.items()
    }


def _pack_shared_state(shared_state):
    return [
        shared_state.revision,
        _milliseconds(shared_state.evidence_age),
        shared_state.store_revision,
        int(shared_state.scope),
        {
            name: round(consumed)
            for name, consumed in shared_state.consumed_by_workspace.items()
        },
        [
            [
                load.cell.service,
                load.cell.data_centre,
                load.free,
                load.slots,
                _milliseconds(load.age),
            ]
            for load in shared_state.cells
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
    sequence_number,
    leaving,
    running,
    waiting,
    grants,
    paused,
    shared_state,
    stats_by_target,
):
    return Report(
        instance,
        data_centre,
        incarnation,
        sequence_number,
        leaving,
        running,
        tuple(
            WaitingRequest(
                request,
                service,
                tuple(tier),
                waited / MILLISECONDS,
                tuple(avoid),
                coordinator,
                expected_events,
                left / MILLISECONDS,
                cell_data_centre,
            )
            for (
                request,
                service,
                tier,
                waited,
                avoid,
                coordinator,
                expected_events,
                left,
                cell_data_centre,
            ) in waiting
        ),
        grants,
        tuple(paused),
        _unpack_shared_state(*shared_state) if shared_state is not None else None,
        _unpack_stats(stats_by_target) if stats_by_target is not None else None,
    )


def _unpack_shared_state(
    revision, age, store_revision, scope, consumed_by_workspace, cells
):
    return SharedState(
        revision,
        age / MILLISECONDS,
        store_revision,
        Scope(scope),
        consumed_by_workspace,
        tuple(
            CellLoad(
                Cell(service, cell_data_centre), free, slots, waited / MILLISECONDS
            )
            for service, cell_data_centre, free, slots, waited in cells
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
            ExpectedWait(service, cell_data_centre, tuple(tier), wait / MILLISECONDS)
            for service, cell_data_centre, tier, wait in waits
        ),
    )


DECODERS: dict[int, Callable] = {
    REPORT: _decode_report,
    ROSTER: _decode_roster,
    GRANTS: _decode_grants,
    REPORT_REQUEST: ReportRequest,
}
