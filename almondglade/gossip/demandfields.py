"""Fields of reports that tell how the demand of cells goes."""

import math

from ..errors import PeerError
from ..placement.demand import Demand
from .numbers import decode_count, decode_name

ARRIVALS_FIELD = "arrivals"
DEMAND_FIELD = "demand"
# Demand is sent in tenths of slots, shares in thousandths.
DEMAND_SCALE = 10.0
SHARE_SCALE = 1000.0


def pack_demand_fields(message):
    """Return the fields of a report by name, without empty ones."""
    fields = {}
    if message.arrivals_by_service:
        fields[ARRIVALS_FIELD] = message.arrivals_by_service
    cells = message.shared_state.cells if message.shared_state is not None else ()
    if any(load.demand for load in cells):
        fields[DEMAND_FIELD] = [_pack_demand(load.demand) for load in cells]
    return fields


def unpack_arrivals(fields):
    """Return how many requests have come to the sender, by service."""
    return {
        decode_name(service): decode_count(count)
        for service, count in fields.get(ARRIVALS_FIELD, {}).items()
    }


def unpack_demands(fields, count):
    """Return the `Demand`, or None, of each cell of a report's shared state."""
    demands = fields.get(DEMAND_FIELD) or [None] * count
    if len(demands) != count:
        raise PeerError("malformed message: demand of another number of cells")
    return [None if entry is None else _decode_demand(*entry) for entry in demands]


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
        decode_name(name): decode_count(share) / SHARE_SCALE
        for name, share in given.items()
    }
    if decode_count(slots) < 0 or not 0.0 <= math.fsum(shares.values()) <= 1.0:
        raise PeerError("malformed message: demand out of range")
    return Demand(slots / DEMAND_SCALE, decode_count(trend) / DEMAND_SCALE, shares)
