"""Fields of reports that earlier releases don't know.

They are one entry of the map of confirmed grants. Earlier releases look up only their
own names there. Fields under unknown keys are ignored, so that later releases can add
some.
"""

import math
from dataclasses import dataclass

from ..errors import PeerError
from ..placement.demand import Demand

# Key of that entry.
FURTHER_FIELDS = ""
WORK_FIELD = "work"
SENT_FIELD = "sent"
ARRIVALS_FIELD = "arrivals"
DEMAND_FIELD = "demand"
MILLISECONDS_PER_SECOND = 1000.0
# Demand is sent in tenths of slots, shares in thousandths.
DEMAND_SCALE = 10.0
SHARE_SCALE = 1000.0


@dataclass(frozen=True)
class FurtherFields:
    """Decoded further fields of a report.

    Parameters
    ----------
    work : list of (str, int)
        Workspace and tokens of each waiting request.
    sent_at : float or None
    arrivals_by_service : dict of str to int
    demands : list of Demand or None
        One for each cell of the shared state.
    """

    work: list[tuple[str, int]]
    sent_at: float | None
    arrivals_by_service: dict[str, int]
    demands: list[Demand | None]


def pack_further_fields(message):
    """Return the map entry with the further fields of a report."""
    fields = {}
    if any(entry.workspace or entry.tokens for entry in message.waiting):
        fields[WORK_FIELD] = [
            [entry.workspace, entry.tokens] for entry in message.waiting
        ]
    if message.sent_at is not None:
        fields[SENT_FIELD] = round(message.sent_at * MILLISECONDS_PER_SECOND)
    if message.arrivals_by_service:
        fields[ARRIVALS_FIELD] = message.arrivals_by_service
    cells = message.shared_state.cells if message.shared_state is not None else ()
    if any(load.demand for load in cells):
        fields[DEMAND_FIELD] = [_pack_demand(load.demand) for load in cells]
    return {FURTHER_FIELDS: fields} if fields else {}


def unpack_further_fields(fields, waiting_count, cell_count):
    """Return the `FurtherFields` of a report.

    Parameters
    ----------
    waiting_count, cell_count : int
        Numbers of its waiting requests and of the cells in its shared state.

    Raises
    ------
    PeerError
        If they are malformed.
    """
    work = fields.get(WORK_FIELD) or [["", 0]] * waiting_count
    if len(work) != waiting_count:
        raise PeerError("malformed message: work of another number of requests")
    demands = fields.get(DEMAND_FIELD) or [None] * cell_count
    if len(demands) != cell_count:
        raise PeerError("malformed message: demand of another number of cells")
    milliseconds = fields.get(SENT_FIELD)
    return FurtherFields(
        [_decode_work(*entry) for entry in work],
        None
        if milliseconds is None
        else decode_count(milliseconds) / MILLISECONDS_PER_SECOND,
        {
            _decode_name(service): decode_count(count)
            for service, count in fields.get(ARRIVALS_FIELD, {}).items()
        },
        [None if entry is None else _decode_demand(*entry) for entry in demands],
    )


def _pack_demand(demand):
    if demand is None:
        return None
    return [
        round(demand.slots * DEMAND_SCALE),
        round(demand.trend * DEMAND_SCALE),
        {name: round(share * SHARE_SCALE) for name, share in demand.given.items()},
    ]


def _decode_demand(slots, trend, given):
    shares = {
        _decode_name(name): decode_count(share) / SHARE_SCALE
        for name, share in given.items()
    }
    if decode_count(slots) < 0 or not 0.0 <= math.fsum(shares.values()) <= 1.0:
        raise PeerError("malformed message: demand out of range")
    return Demand(slots / DEMAND_SCALE, decode_count(trend) / DEMAND_SCALE, shares)


def _decode_work(workspace, tokens):
    return _decode_name(workspace), decode_count(tokens)


def _decode_name(name):
    if not isinstance(name, str):
        raise PeerError("malformed message: a name is not a text")
    return name


def decode_count(number):
    """Return a whole number of a message.

    Raises
    ------
    PeerError
        If it is none.
    """
    if not isinstance(number, int):
        raise PeerError("malformed message: a count is not a number")
    return number
