"""Tell operators which load moves between data centres."""

from ..log import get_logger

log = get_logger("demand")


def record_demand_changes(balances, metrics):
    """Log which cells begin or end to give or take load, and count what moved.

    The caller must hold the lock of the pools.

    Parameters
    ----------
    balances : DemandBalances
    metrics : Metrics
    """
    for change in balances.take_changes():
        log.info(
            "cell begins to move load" if change.begins else "cell ceases to move load",
            direction=change.kind,
            service=change.cell.service,
            data_centre=change.cell.data_centre,
            needed=round(change.needed, 1),
            slots=change.slots,
            given={name: round(share, 3) for name, share in change.given.items()},
            age=round(change.age, 3),
        )
    for (service, reason), count in balances.take_moves().items():
        metrics.count("moved_requests_total", count, service=service, kind=reason)
