"""Fields of reports that earlier releases don't know."""

import math

from ..errors import PeerError
from ..placement.moments import MAX_SHARED_PER_REPORT, SharedMoment, TargetLoad
from .demandfields import pack_demand_fields
from .messages import BookedReturn
from .numbers import (
    MILLISECONDS_PER_SECOND,
    decode_count,
    decode_name,
    to_milliseconds,
)

# Key under which the map of confirmed grants holds further fields of a report. Releases
# that don't know them look up only their own names there. Fields under unknown keys
# are ignored, so that later releases can add some.
FURTHER_FIELDS = ""
WORK_FIELD = "work"
FINGERPRINTS_FIELD = "fingerprints"
RETURNS_FIELD = "returns"
SENT_FIELD = "sent"
MOMENTS_FIELD = "moments"
# A relative duration is sent in percent of the usual one.
PERCENT = 100.0


def pack_further_fields(message):
    """Return the map entry with the fields that earlier releases don't know."""
    fields = pack_demand_fields(message)
    if any(entry.workspace or entry.tokens for entry in message.waiting):
        fields[WORK_FIELD] = [
            [entry.workspace, entry.tokens, _pack_start(entry.start_within)]
            for entry in message.waiting
        ]
    if any(entry.return_fingerprint for entry in message.waiting):
        fields[FINGERPRINTS_FIELD] = [
            entry.return_fingerprint for entry in message.waiting
        ]
    if message.booked_returns:
        fields[RETURNS_FIELD] = [
            [
                entry.number,
                entry.service,
                entry.tier,
                entry.fingerprint,
                to_milliseconds(entry.due_in),
            ]
            for entry in message.booked_returns
        ]
    if message.moments:
        fields[MOMENTS_FIELD] = [_pack_moment(moment) for moment in message.moments]
    if message.sent_at is not None:
        fields[SENT_FIELD] = round(message.sent_at * MILLISECONDS_PER_SECOND)
    return {FURTHER_FIELDS: fields} if fields else {}


def _pack_start(seconds):
    return None if math.isinf(seconds) else to_milliseconds(seconds)


def unpack_sent_at(fields):
    """Return the time on the sender's clock, or None if it does not tell."""
    milliseconds = fields.get(SENT_FIELD)
    if milliseconds is None:
        return None
    return decode_count(milliseconds) / MILLISECONDS_PER_SECOND


def _unpack_fingerprints(fields, count):
    """Return the return fingerprint of each waiting request."""
    fingerprints = fields.get(FINGERPRINTS_FIELD) or [0] * count
    if len(fingerprints) != count:
        raise PeerError("malformed message: fingerprints of other requests")
    return [decode_count(fingerprint) for fingerprint in fingerprints]


def unpack_booked_returns(fields):
    """Return the bookings that the sender made lately."""
    return tuple(
        BookedReturn(
            decode_count(number),
            service,
            tuple(tier),
            decode_count(fingerprint),
            due_in / MILLISECONDS_PER_SECOND,
        )
        for number, service, tier, fingerprint, due_in in fields.get(RETURNS_FIELD, ())
    )


def unpack_moments(fields):
    """Return what targets last said of their load."""
    moments = fields.get(MOMENTS_FIELD, ())[:MAX_SHARED_PER_REPORT]
    return tuple(_unpack_moment(*entry) for entry in moments)


def _pack_moment(moment):
    load = moment.load
    return [
        moment.target,
        moment.target_started_at,
        load.running,
        load.waiting,
        load.slots,
        round(load.relative_duration * PERCENT),
        round(moment.age * MILLISECONDS_PER_SECOND),
    ]


def _unpack_moment(target, started_at, running, waiting, slots, percent, age, *_):
    counts = (started_at, running, waiting, slots, percent, age)
    if not isinstance(target, str) or not all(
        isinstance(count, int) and count >= 0 for count in counts
    ):
        raise PeerError("malformed message: what a target said is not a number")
    return SharedMoment(
        target,
        started_at,
        TargetLoad(running, waiting, slots, percent / PERCENT),
        age / MILLISECONDS_PER_SECOND,
    )


def unpack_waiting(fields, count):
    """Return what reports of this release add to each waiting request."""
    work = _unpack_work(fields, count)
    fingerprints = _unpack_fingerprints(fields, count)
    return [
        (*entry, fingerprint)
        for entry, fingerprint in zip(work, fingerprints, strict=True)
    ]


def _unpack_work(fields, count):
    """Return workspace, tokens and latest start of each waiting request."""
    work = fields.get(WORK_FIELD) or [["", 0]] * count
    if len(work) != count:
        raise PeerError("malformed message: work of another number of requests")
    return [_decode_work(*entry) for entry in work]


def _decode_work(workspace, tokens, start=None):
    start_within = (
        math.inf if start is None else decode_count(start) / MILLISECONDS_PER_SECOND
    )
    return decode_name(workspace), decode_count(tokens), start_within
