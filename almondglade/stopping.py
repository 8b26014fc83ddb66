"""Stop an instance without cutting off a request."""

import asyncio

from .log import get_logger

log = get_logger("stop")

POLL_SECONDS = 0.05
# Time for the last completions to leave on the links.
FLUSH_SECONDS = 0.5


async def drain(node):
    """End all requests in progress, for a bounded time.

    The balancer learns late that the instance is not ready, so requests that
    still come are served during the notice time and refused after it.

    Parameters
    ----------
    node : Node
        The instance that stops.

    Returns
    -------
    int
        Requests that were still in progress at the end.
    """
    log.info("stopping, requests in progress will end first", active=node.busy)
    deadline = node.clock() + node.settings.stop_timeout
    node.leave()
    node.callers.end_keep_alive()
    notice_ends = min(deadline, node.clock() + node.settings.stop_notice)
    await _wait(node, lambda: node.clock() >= notice_ends)
    node.app.stopping = True
    await _wait(node, lambda: not node.busy or node.clock() >= deadline)
    if node.busy:
        log.warning("cut off requests in progress", cut=node.busy)
        return node.busy
    flush_ends = min(deadline, node.clock() + FLUSH_SECONDS)
    await _wait(node, lambda: node.clock() >= flush_ends)
    return 0


async def _wait(node, is_over):
    while not is_over() and not node.cut_off_requested.is_set():
        await asyncio.sleep(POLL_SECONDS)
