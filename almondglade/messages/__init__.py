"""Typed messages between an entry and the coordinator of a pool.

Times are in seconds, sizes in tokens. Their encoding is in ``peers``.
"""

from .joining import (
    CarriedPermit,
    CarriedSpend,
    CarriedSuspect,
    Join,
    Leave,
    PoolState,
    Rejoin,
)
from .links import (
    ConfigurationPart,
    ConfigurationRequest,
    ConfigurationUpdate,
    Hello,
    Ping,
)
from .permits import (
    Completion,
    Demand,
    Grant,
    LoadReport,
    Preemption,
    Refusal,
    RefusalReason,
    Result,
    TargetState,
    Withdrawal,
)

__all__ = [
    "CarriedPermit",
    "CarriedSpend",
    "CarriedSuspect",
    "Completion",
    "ConfigurationPart",
    "ConfigurationRequest",
    "ConfigurationUpdate",
    "Demand",
    "Grant",
    "Hello",
    "Join",
    "Leave",
    "LoadReport",
    "Ping",
    "PoolState",
    "Preemption",
    "Refusal",
    "RefusalReason",
    "Rejoin",
    "Result",
    "TargetState",
    "Withdrawal",
]
