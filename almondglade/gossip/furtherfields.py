"""Wire format of the fields of a report that earlier releases don't know."""

from ..errors import PeerError
from ..placement.moments import MAX_SHARED_PER_REPORT, SharedMoment, TargetLoad

# Key under which the map of confirmed grants holds further fields of a report. Releases
# that don't know them look up only their own names there. Fields under unknown keys
# are ignored, so that later releases can add some.
FURTHER_FIELDS = ""
WORK_FIELD = "work"
MOMENTS_FIELD = "moments"
MILLISECONDS_PER_SECOND = 1000.0
# A relative duration is sent in percent of the usual one.
PERCENT = 100.0


def pack_further_fields(message):
    """Return the map entry with the fields that earlier releases don't know."""
    fields = {}
    if any(entry.workspace or entry.tokens for entry in message.waiting):
        fields[WORK_FIELD] = [
            [entry.workspace, entry.tokens] for entry in message.waiting
        ]
    if message.moments:
        fields[MOMENTS_FIELD] = [_pack_moment(moment) for moment in message.moments]
    return {FURTHER_FIELDS: fields} if fields else {}


def unpack_further_fields(latest_grant_by_coordinator, waiting_count):
    """Remove the further fields from the map of confirmed grants and decode them.

    Returns
    -------
    work : list of (str, int)
        Workspace and tokens of each waiting request.
    moments : tuple of SharedMoment

    Raises
    ------
    PeerError
        If they are malformed.
    """
    fields = latest_grant_by_coordinator.pop(FURTHER_FIELDS, {})
    moments = fields.get(MOMENTS_FIELD, ())[:MAX_SHARED_PER_REPORT]
    return (
        _unpack_work(fields, waiting_count),
        tuple(_unpack_moment(*entry) for entry in moments),
    )


def _unpack_work(fields, count):
    work = fields.get(WORK_FIELD) or [["", 0]] * count
    if len(work) != count:
        raise PeerError("malformed message: work of another number of requests")
    return [_decode_work(*entry) for entry in work]


def _decode_work(workspace, tokens):
    if not isinstance(workspace, str) or not isinstance(tokens, int):
        raise PeerError("malformed message: work is not a text and a count")
    return workspace, tokens


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
