"""Tasks that watch the platform."""

import asyncio
import random

from .errors import PlatformError
from .log import get_logger

log = get_logger("platform")

WAIT_SECONDS = 10.0
# Longest pause after an answer, so that a list that changes often is not read
# by all instances at each change.
MAX_PAUSE_SECONDS = 0.5
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0


async def watch(name, read, take):
    """Read a value for each change and pass it on, until cancelled.

    Parameters
    ----------
    name : str
        What is watched, for the log.
    read : callable
        Takes a revision and a wait in seconds; returns a `VersionedValue`. Runs in a
        thread.
    take : callable
        Takes each newer `VersionedValue`; runs on the loop.
    """
    revision, backoff = 0, MIN_BACKOFF_SECONDS
    while True:
        try:
            wait = WAIT_SECONDS if revision else 0.0
            answer = await asyncio.to_thread(read, revision, wait)
        except PlatformError as error:
            log.warning("cannot read the platform", watch=name, cause=str(error))
            await asyncio.sleep(random.uniform(0.5, 1.0) * backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
            continue
        backoff = MIN_BACKOFF_SECONDS
        if answer.value is not None and answer.revision != revision:
            take(answer)
        revision = answer.revision
        await asyncio.sleep(random.uniform(0.2, 1.0) * MAX_PAUSE_SECONDS)
