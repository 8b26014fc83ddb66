"""Graceful stop of an instance that lets requests in progress end."""

import asyncio

from .log import get_logger

log = get_logger("stop")

POLL_SECONDS = 0.05
# Time to send the last completions to peers over the links.
FLUSH_SECONDS = 0.5


async def drain(node):
    """Wait for the requests in progress to end, for a limited time.

    The load balancer notices with a delay that the instance is not ready, so new
    requests are still served during the notice period and refused after it.

    Parameters
    ----------
    node : Node
        The instance that is stopping.

    Returns
    -------
    int
        Number of requests that were still in progress at the time limit or at a second
        stop signal.
    """
    log.info(
        "stopping after the requests in progress have ended",
        active=node.requests_in_progress,
    )
    deadline = node.clock() + node.settings.stop_timeout
    node.leave()
    node.callers.end_keep_alive()
    notice_ends = min(deadline, node.clock() + node.settings.stop_notice)
    await _wait_until(node, lambda: node.clock() >= notice_ends)
    node.app.stopping = True
    await _wait_until(
        node, lambda: not node.requests_in_progress or node.clock() >= deadline
    )
    if node.requests_in_progress:
        log.warning("cut off requests in progress", cut=node.requests_in_progress)
        return node.requests_in_progress
    flush_ends = min(deadline, node.clock() + FLUSH_SECONDS)
    await _wait_until(node, lambda: node.clock() >= flush_ends)
    return 0


async def _wait_until(node, condition):
    """Wait until a condition holds or a second stop signal ends the drain."""
    while not condition() and not node.cut_off_requested.is_set():
        await asyncio.sleep(POLL_SECONDS)
