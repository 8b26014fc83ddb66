"""Wire format of the messages between instances.

A message is a MessagePack array that begins with the format version and the kind, so
that instances of another version can detect messages that they cannot decode.
"""

import math
from collections.abc import Callable
from functools import singledispatch

import msgpack

from ..errors import PeerError
from ..placement.allowance import Scope
from ..placement.cells import Cell
from ..placement.health import TargetStats
from ..placement.outlook import CellLoad
from .demandfields import unpack_arrivals, unpack_demands
from .fields import (
    FURTHER_FIELDS,
    pack_further_fields,
    unpack_booked_returns,
    unpack_moments,
    unpack_sent_at,
    unpack_waiting,
)
from .messages import (
    CrashEvidence,
    ExpectedWait,
    Grant,
    Grants,
    Member,
    MemberList,
    NamedLimit,
    NamedLimits,
    OriginQuery,
    OriginReport,
    Report,
    ReportRequest,
    SharedState,
    StartNotice,
    SuspectEvidence,
    SuspectReport,
    WaitingRequest,
)
from .numbers import MILLISECONDS_PER_SECOND, decode_count, to_milliseconds

FORMAT_VERSION = 3
REPORT_KIND = 0
MEMBER_LIST_KIND = 1
GRANTS_KIND = 2
REPORT_REQUEST_KIND = 3
SUSPECT_REPORT_KIND = 4
ORIGIN_REPORT_KIND = 5
ORIGIN_QUERY_KIND = 6
NAMED_LIMITS_KIND = 7
START_NOTICE_KIND = 8


@singledispatch
def encode(message):
    """Return the datagram that holds a message.

    Raises
    ------
    TypeError
        If it is not a message class.
    """
    raise TypeError(f"unknown message type: {message!r}")


@encode.register
def _(message: MemberList):
    members = [
        [
            member.address,
            member.instance,
            member.data_centre,
            member.capacity,
            to_milliseconds(member.age),
            member.leaving,
        ]
        for member in message.members
    ]
    return msgpack.packb(
        [FORMAT_VERSION, MEMBER_LIST_KIND, message.instance, members, message.joining]
    )


@encode.register
def _(message: ReportRequest):
    return msgpack.packb([FORMAT_VERSION, REPORT_REQUEST_KIND, message.instance])


@encode.register
def _(message: StartNotice):
    return msgpack.packb([FORMAT_VERSION, START_NOTICE_KIND, message.instance])


@encode.register
def _(message: Grants):
    grants = [[grant.number, grant.request, grant.target] for grant in message.grants]
    waits = [
        [
            wait.service,
            wait.cell_data_centre,
            # Earlier releases store the wait under a tier that no request has.
            wait.tier if wait.workspace is None else (*wait.tier, wait.workspace),
            to_milliseconds(wait.seconds),
        ]
        for wait in message.waits
    ]
    fields = [FORMAT_VERSION, GRANTS_KIND, message.instance, grants, waits]
    # Only releases that report fingerprints get returns, which others reject.
    return msgpack.packb([*fields, message.returns] if message.returns else fields)


@encode.register
def _(message: SuspectReport):
    suspects = [
        [
            suspect.fingerprint,
            [
                [
                    crash.target,
                    crash.target_started_at,
                    to_milliseconds(crash.started_age),
                    to_milliseconds(crash.ended_age),
                ]
                for crash in suspect.crashes
            ],
            None
            if suspect.cleared_age is None
            else to_milliseconds(suspect.cleared_age),
        ]
        for suspect in message.suspects
    ]
    return msgpack.packb(
        [FORMAT_VERSION, SUSPECT_REPORT_KIND, message.instance, suspects]
    )


@encode.register
def _(message: OriginReport):
    return msgpack.packb(
        [
            FORMAT_VERSION,
            ORIGIN_REPORT_KIND,
            message.instance,
            message.request_id,
            message.service,
            message.version,
            to_milliseconds(message.age),
        ]
    )


@encode.register
def _(message: OriginQuery):
    return msgpack.packb(
        [FORMAT_VERSION, ORIGIN_QUERY_KIND, message.instance, message.request_id]
    )


@encode.register
def _(message: NamedLimits):
    limits = [
        [
            limit.target,
            limit.target_started_at,
            limit.rate,
            to_milliseconds(limit.rate_age),
            limit.refusal_limit,
            to_milliseconds(limit.refusal_limit_age),
            to_milliseconds(limit.refused_age),
            limit.is_rate_from_failures,
            limit.is_refusal_limit_from_failures,
        ]
        for limit in message.limits
    ]
    return msgpack.packb([FORMAT_VERSION, NAMED_LIMITS_KIND, message.instance, limits])


@encode.register
def _(message: Report):
    return msgpack.packb(
        [
            FORMAT_VERSION,
            REPORT_KIND,
            message.instance,
            message.data_centre,
            message.incarnation,
            message.sequence_number,
            message.leaving,
            message.running_by_target,
            [_pack_waiting(entry) for entry in message.waiting],
            message.latest_grant_by_coordinator | pack_further_fields(message),
            message.paused_targets,
            _pack_shared_state(message.shared_state)
            if message.shared_state is not None
            else None,
            _pack_stats(message.stats_by_target)
            if message.stats_by_target is not None
            else None,
            message.isolated_by_target,
        ]
    )


def _pack_waiting(entry):
    fields = [
        entry.number,
        entry.service,
        entry.tier,
        to_milliseconds(entry.age),
        entry.attempted_targets,
        entry.coordinator,
        round(entry.expected_events),
        to_milliseconds(entry.time_left),
        entry.cell_data_centre,
        entry.isolated_fingerprint,
    ]
    # Releases that do not know the version reject entries with one, but no others.
    return [*fields, entry.version] if entry.version else fields


def _pack_stats(stats_by_target):
    return {
        target: [
            round(stats.event_seconds * MILLISECONDS_PER_SECOND, 1),
            round(stats.slowness, 2),
            stats.finished,
            stats.failures,
        ]
        for target, stats in stats_by_target.items()
    }


def _unpack_stats(stats_by_target):
    return {
        target: TargetStats(
            event_milliseconds / MILLISECONDS_PER_SECOND, slowness, finished, failures
        )
        for target, (
            event_milliseconds,
            slowness,
            finished,
            failures,
        ) in stats_by_target.items()
    }


def _pack_shared_state(shared_state):
    return [
        shared_state.revision,
        to_milliseconds(shared_state.evidence_age),
        # Earlier releases have a number here, which they ignore.
        [shared_state.version, *shared_state.store_position],
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
                to_milliseconds(load.age),
            ]
            for load in shared_state.cells
        ],
    ]


def decode(data):
    """Return the message in a datagram.

    Raises
    ------
    PeerError
        If it is malformed or of an unknown format version or kind.
    """
    try:
        format_version, kind, instance, *rest = msgpack.unpackb(
            data, strict_map_key=False
        )
        if format_version != FORMAT_VERSION or kind not in DECODER_BY_KIND:
            raise PeerError(f"unknown message format {format_version} or kind {kind}")
        return DECODER_BY_KIND[kind](instance, *rest)
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as error:
        raise PeerError(f"malformed message: {error}") from error


def _decode_report(
    instance,
    data_centre,
    incarnation,
    sequence_number,
    leaving,
    running_by_target,
    waiting,
    latest_grant_by_coordinator,
    paused_targets,
    shared_state,
    stats_by_target,
    isolated_by_target,
):
    further_fields = latest_grant_by_coordinator.pop(FURTHER_FIELDS, {})
    further_entries = unpack_waiting(further_fields, len(waiting))
    return Report(
        instance,
        data_centre,
        incarnation,
        sequence_number,
        leaving,
        running_by_target,
        tuple(
            WaitingRequest(
                number,
                service,
                tuple(tier),
                age / MILLISECONDS_PER_SECOND,
                tuple(attempted_targets),
                coordinator,
                expected_events,
                time_left / MILLISECONDS_PER_SECOND,
                cell_data_centre,
                isolated_fingerprint,
                *(version or ("",)),
                *further_entry,
            )
            for (
                number,
                service,
                tier,
                age,
                attempted_targets,
                coordinator,
                expected_events,
                time_left,
                cell_data_centre,
                isolated_fingerprint,
                *version,
            ), further_entry in zip(waiting, further_entries, strict=True)
        ),
        latest_grant_by_coordinator,
        tuple(paused_targets),
        _unpack_shared_state(further_fields, *shared_state)
        if shared_state is not None
        else None,
        _unpack_stats(stats_by_target) if stats_by_target is not None else None,
        {
            target: tuple(fingerprints)
            for target, fingerprints in isolated_by_target.items()
        },
        unpack_booked_returns(further_fields),
        unpack_sent_at(further_fields),
        unpack_moments(further_fields),
        unpack_arrivals(further_fields),
    )


def _unpack_shared_state(
    further_fields,
    revision,
    evidence_age,
    position,
    scope,
    consumed_by_workspace,
    cells,
):
    version, era, store_revision = position if isinstance(position, list) else (0, 0, 0)
    return SharedState(
        revision,
        evidence_age / MILLISECONDS_PER_SECOND,
        Scope(scope),
        consumed_by_workspace,
        tuple(
            CellLoad(
                Cell(service, data_centre),
                free,
                slots,
                load_age / MILLISECONDS_PER_SECOND,
                demand,
            )
            for (service, data_centre, free, slots, load_age), demand in zip(
                cells, unpack_demands(further_fields, len(cells)), strict=True
            )
        ),
        decode_count(version),
        (decode_count(era), decode_count(store_revision)),
    )


def _decode_member_list(instance, members, joining):
    return MemberList(
        instance,
        tuple(
            Member(
                address,
                name,
                data_centre,
                capacity,
                age / MILLISECONDS_PER_SECOND,
                leaving,
            )
            for address, name, data_centre, capacity, age, leaving in members
        ),
        joining,
    )


def _decode_grants(instance, grants, waits, returns=()):
    return Grants(
        instance,
        tuple(Grant(*entry) for entry in grants),
        tuple(_decode_wait(*entry) for entry in waits),
        tuple(map(decode_count, returns)),
    )


def _decode_wait(service, cell_data_centre, tier, milliseconds):
    *numbers, last = tier
    workspace = last if isinstance(last, str) else None
    return ExpectedWait(
        service,
        cell_data_centre,
        tuple(tier if workspace is None else numbers),
        milliseconds / MILLISECONDS_PER_SECOND,
        workspace,
    )


def _decode_suspect_report(instance, suspects):
    return SuspectReport(
        instance,
        tuple(
            SuspectEvidence(
                fingerprint,
                tuple(
                    CrashEvidence(
                        target,
                        target_started_at,
                        started_age / MILLISECONDS_PER_SECOND,
                        ended_age / MILLISECONDS_PER_SECOND,
                    )
                    for target, target_started_at, started_age, ended_age in crashes
                ),
                None if cleared_age is None else cleared_age / MILLISECONDS_PER_SECOND,
            )
            for fingerprint, crashes, cleared_age in suspects
        ),
    )


def _decode_origin_report(instance, request_id, service, version, age):
    if not all(isinstance(text, str) for text in (request_id, service, version)):
        raise PeerError("malformed message: a name is not a text")
    return OriginReport(
        instance, request_id, service, version, age / MILLISECONDS_PER_SECOND
    )


def _decode_origin_query(instance, request_id):
    if not isinstance(request_id, str):
        raise PeerError("malformed message: a request id is not a text")
    return OriginQuery(instance, request_id)


def _decode_named_limits(instance, limits):
    return NamedLimits(
        instance,
        tuple(
            NamedLimit(
                target,
                started_at,
                _decode_limit(rate),
                rate_age / MILLISECONDS_PER_SECOND,
                _decode_limit(refusal_limit),
                refusal_limit_age / MILLISECONDS_PER_SECOND,
                refused_age / MILLISECONDS_PER_SECOND,
                is_rate_from_failures is True,
                is_refusal_limit_from_failures is True,
            )
            for (
                target,
                started_at,
                rate,
                rate_age,
                refusal_limit,
                refusal_limit_age,
                refused_age,
                is_rate_from_failures,
                is_refusal_limit_from_failures,
            ) in limits
        ),
    )


def _decode_limit(limit):
    if limit is not None and not 0.0 <= limit < math.inf:
        raise PeerError(f"malformed message: a limit of {limit}")
    return limit


DECODER_BY_KIND: dict[int, Callable] = {
    REPORT_KIND: _decode_report,
    MEMBER_LIST_KIND: _decode_member_list,
    GRANTS_KIND: _decode_grants,
    REPORT_REQUEST_KIND: ReportRequest,
    START_NOTICE_KIND: StartNotice,
    SUSPECT_REPORT_KIND: _decode_suspect_report,
    ORIGIN_REPORT_KIND: _decode_origin_report,
    ORIGIN_QUERY_KIND: _decode_origin_query,
    NAMED_LIMITS_KIND: _decode_named_limits,
}
