"""Read the declared document: relays watch it, other instances only when needed."""

import asyncio

from .errors import PlatformError
from .log import get_logger

log = get_logger("platform")

# Duration of one watch; each response confirms that the document is the newest.
WATCH_SECONDS = 0.5
# An instance that no relay has informed for this long reads the service itself, at
# this interval.
UNINFORMED_SECONDS = 1.6
WATCH_PAUSE_SECONDS = 0.1
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0


class DocumentReader:
    """Reads the document from the platform and passes it to the store.

    Parameters
    ----------
    platform : PlatformClient
        Client of the configuration service.
    key : str
        Key of the document in the service.
    store : ConfigurationStore
        Receives the documents.
    freshness : ConfigurationFreshness
        Receives the confirmations that the document is the newest.
    membership : Membership
        Determines whether this instance is a relay.
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator
        Source of the jitter that spreads the reads of all instances.
    """

    def __init__(self, platform, key, store, freshness, membership, clock, rng):
        self.platform = platform
        self.key = key
        self.store = store
        self.freshness = freshness
        self.membership = membership
        self.clock = clock
        self.rng = rng
        self._revision = 0
        self._backoff = MIN_BACKOFF_SECONDS

    async def run(self):
        """Read until cancelled."""
        while True:
            watching = self.membership.is_relay()
            if watching or self.freshness.confirmed_age > UNINFORMED_SECONDS:
                await self._read(WATCH_SECONDS if watching and self._revision else 0.0)
            await asyncio.sleep(self._pause(watching))

    def _pause(self, watching):
        if self._backoff > MIN_BACKOFF_SECONDS:
            return self._backoff * self.rng.uniform(0.5, 1.0)
        pause = WATCH_PAUSE_SECONDS if watching else UNINFORMED_SECONDS
        return pause * self.rng.uniform(0.5, 1.0)

    async def _read(self, wait):
        requested_at = self.clock()
        try:
            response = await asyncio.to_thread(
                self.platform.read_document, self.key, self._revision, wait
            )
        except PlatformError as error:
            log.warning("cannot read the declared document", cause=str(error))
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
            return
        self._backoff = MIN_BACKOFF_SECONDS
        self._revision = response.revision
        if response.value is None:
            return
        await self.store.offer_in_thread(response.revision, response.value, "platform")
        if response.fresh and response.revision >= self.store.version:
            self.freshness.confirm(requested_at)
