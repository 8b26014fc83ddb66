"""Read the declared document: relays watch it, the others only when needed."""

import asyncio

from .errors import PlatformError
from .log import get_logger

log = get_logger("platform")

# Each answer of a watch is evidence that the document is the newest.
WATCH_SECONDS = 0.5
# An instance that no relay informs reads the service itself, this often.
UNINFORMED_SECONDS = 1.6
MIN_GAP_SECONDS = 0.1
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0


class DocumentReader:
    """Passes what the platform publishes to the store.

    Parameters
    ----------
    platform : PlatformClient
        Reads the service.
    key : str
        Key of the document.
    store : ConfigurationStore
        Takes the documents.
    freshness : ConfigurationFreshness
        Takes the evidence.
    membership : Membership
        Tells whether this instance is a relay.
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator
        Spreads the reads of all instances.
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
            await asyncio.sleep(self._gap(watching))

    def _gap(self, watching):
        if self._backoff > MIN_BACKOFF_SECONDS:
            return self._backoff * self.rng.uniform(0.5, 1.0)
        gap = MIN_GAP_SECONDS if watching else UNINFORMED_SECONDS
        return gap * self.rng.uniform(0.5, 1.0)

    async def _read(self, wait):
        asked_at = self.clock()
        try:
            answer = await asyncio.to_thread(
                self.platform.read_document, self.key, self._revision, wait
            )
        except PlatformError as error:
            log.warning("cannot read the document", cause=str(error))
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
            return
        self._backoff = MIN_BACKOFF_SECONDS
        self._revision = answer.revision
        if answer.value is None:
            return
        await self.store.offer_in_thread(answer.revision, answer.value, "platform")
        if answer.fresh and answer.revision >= self.store.version:
            self.freshness.confirm(asked_at)
