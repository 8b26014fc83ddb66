"""Messages that wait to be sent on a link."""

import asyncio
from collections import deque

from ..errors import PeerError
from ..messages import ConfigurationPart

# A peer that lets more than this wait loses its link; each side then starts
# again from what the other tells when it joins.
MAX_QUEUED_MESSAGES = 4096


class Outbox:
    """A bounded queue in which parts of documents wait behind all else.

    Parameters
    ----------
    limit : int
        Messages that may wait, parts of documents not counted.
    """

    def __init__(self, limit=MAX_QUEUED_MESSAGES):
        self.limit = limit
        self.overflowed = False
        self._messages: list = []
        self._parts: deque[ConfigurationPart] = deque()
        self._ready = asyncio.Event()

    def put(self, message):
        """Add a message to the next frame."""
        if isinstance(message, ConfigurationPart):
            self._parts.append(message)
        elif len(self._messages) < self.limit:
            self._messages.append(message)
        else:
            self.overflowed = True
        self._ready.set()

    def replace_parts(self, parts):
        """Send a document in place of any that still waits."""
        self._parts = deque(parts)
        self._ready.set()

    async def take(self):
        """Wait for messages and return those of the next frame.

        Raises
        ------
        PeerError
            If too many have waited.
        """
        await self._ready.wait()
        if self.overflowed:
            raise PeerError("the peer reads too slowly")
        messages, self._messages = self._messages, []
        if self._parts:
            messages.append(self._parts.popleft())
        if not self._parts:
            self._ready.clear()
        return messages
