"""Task that watches a value of the platform for changes."""

import asyncio
import random

from .errors import PlatformError
from .log import get_logger

log = get_logger("platform")

WATCH_SECONDS = 10.0
# Longest pause after a response, so that not all instances read a frequently changing
# list at each change.
MAX_PAUSE_SECONDS = 0.5
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0


async def watch(name, read, on_change):
    """Read a value after each change and pass it to a callback, until cancelled.

    Parameters
    ----------
    name : str
        Name of the watched value in the log.
    read : callable
        Called with a revision and a wait in seconds; returns a `VersionedValue`. Runs
        in a thread.
    on_change : callable
        Called with each newer `VersionedValue`, on the event loop.
    """
    revision, era, backoff = 0, 0, MIN_BACKOFF_SECONDS
    while True:
        try:
            wait = WATCH_SECONDS if revision else 0.0
            response = await asyncio.to_thread(read, revision, wait)
        except PlatformError as error:
            log.warning("cannot read from the platform", watch=name, cause=str(error))
            await asyncio.sleep(random.uniform(0.5, 1.0) * backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
            continue
        backoff = MIN_BACKOFF_SECONDS
        has_changed = (response.era, response.revision) != (era, revision)
        if response.value is not None and has_changed:
            on_change(response)
        revision, era = response.revision, response.era
        await asyncio.sleep(random.uniform(0.2, 1.0) * MAX_PAUSE_SECONDS)
