"""Start the tasks of an instance again that end by an error.

Load pattern: one request that a task can't handle must not end the task for the rest of
the run, as peers would take the instance for lost.
"""

import asyncio

from .log import get_logger

log = get_logger("supervision")

# A task that fails again and again logs one line in this time; peers hear of an
# instance again long before they take it for lost.
RESTART_PAUSE_SECONDS = 0.5


async def keep_running(name, run, pause=RESTART_PAUSE_SECONDS):
    """Run a coroutine until cancelled, and again whenever it has ended.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    run : callable
        Returns the coroutine.
    pause : float
        Seconds until it is started again.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception("a task failed and is started again", task=name)
        else:
            log.error("a task ended and is started again", task=name)
        await asyncio.sleep(pause)
