"""Queue of the messages to be sent on a link."""

import asyncio
from collections import deque

from ..errors import PeerError
from ..messages import ConfigurationPart

# The link is closed if more messages are queued because the peer reads too slowly. Both
# sides restore their state from the messages of the next join.
MAX_QUEUED_MESSAGES = 4096


class Outbox:
    """A bounded queue in which all other messages precede the parts of documents.

    Parameters
    ----------
    limit : int
        Maximum number of queued messages, not counting parts of documents.
    """

    def __init__(self, limit=MAX_QUEUED_MESSAGES):
        self.limit = limit
        self.overflowed = False
        self._messages: list = []
        self._parts: deque[ConfigurationPart] = deque()
        self._ready = asyncio.Event()

    def put(self, message):
        """Queue a message for the next frame."""
        if isinstance(message, ConfigurationPart):
            self._parts.append(message)
        elif len(self._messages) < self.limit:
            self._messages.append(message)
        else:
            self.overflowed = True
        self._ready.set()

    def replace_parts(self, parts):
        """Queue the parts of a document in place of those still queued."""
        self._parts = deque(parts)
        self._ready.set()

    async def take(self):
        """Wait for messages and return those of the next frame.

        A frame holds all queued messages and at most one part of a document.

        Raises
        ------
        PeerError
            If more than `limit` messages were queued.
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
