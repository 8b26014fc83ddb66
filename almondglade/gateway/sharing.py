"""Tell operators how the slots of services are shared among workspaces."""

from ..log import get_logger
from ..placement.waits import NEW_WORKSPACE

log = get_logger("shares")


def log_share_changes(shares):
    """Log which workspaces have gone over their share, or are back within it.

    Parameters
    ----------
    shares : FairShares
    """
    for change in shares.take_changes():
        log.info(
            "workspace is over its share"
            if change.is_over
            else "workspace is within its share",
            workspace=change.workspace,
            service=change.cell.service,
            data_centre=change.cell.data_centre,
            share=round(change.share, 3),
            held=round(change.held, 3),
        )


def record_share_refusal(pools, metrics, request, expected_wait, now):
    """Log and count whether a refused request was behind others of its workspace.

    The caller must hold the lock of the pools.

    Parameters
    ----------
    pools : Pools
    metrics : Metrics
    request : GatewayRequest
    expected_wait : float
        Seconds that a new request of its workspace would wait.
    """
    if not pools.shares.is_active or request.workspace is None:
        return
    wait_within_share = pools.expected_wait(
        request.service, request.tier, now, NEW_WORKSPACE
    )
    is_over = expected_wait > wait_within_share
    metrics.count(
        "share_refusals_total",
        service=request.service,
        result="over" if is_over else "within",
    )
    log.info(
        "request refused beside other workspaces",
        request=request.request_id,
        workspace=request.workspace.name,
        service=request.service,
        tier=request.tier,
        tokens=request.expected_tokens,
        expected_wait=round(min(expected_wait, 1e3), 3),
        wait_within_share=round(min(wait_within_share, 1e3), 3),
    )
