"""Ask targets which parts of prompts they keep in memory."""

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from ..errors import PlatformError
from .front import EXPECTED_TARGET_HEADER

HELD_PARTS_PATH = "/api/kv-list"
CONNECT_TIMEOUT_SECONDS = 0.2
RESPONSE_TIMEOUT_SECONDS = 0.4
MAX_POOLS = 32


class PromptCacheClient:
    """Reads lists of kept parts; safe from any thread."""

    def __init__(self):
        self._pool = urllib3.PoolManager(
            MAX_POOLS,
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_SECONDS, read=RESPONSE_TIMEOUT_SECONDS
            ),
        )

    def read(self, record):
        """Return how many tokens a target keeps of each part, by the part's id.

        With the last part of a prompt it keeps what it has generated.

        Raises
        ------
        PlatformError
            If it cannot be reached, does not tell, or has started again, or another
            target has its address.
        """
        url = f"http://{record.host}:{record.port}{HELD_PARTS_PATH}"
        headers = {EXPECTED_TARGET_HEADER: record.id}
        try:
            response = self._pool.request("GET", url, headers=headers)
        except (HTTPError, OSError) as error:
            raise PlatformError(f"the target cannot be reached: {error}") from error
        if response.status != 200:
            raise PlatformError(f"the target responded with status {response.status}")
        try:
            content = orjson.loads(response.data)
            if record.started_at and content.get("born", 0) not in (
                0,
                record.started_at,
            ):
                raise PlatformError("the target has started again")
            entries = content["held"]
            return {str(part).lower(): int(tokens) for _, part, tokens, *_ in entries}
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"the list of parts is not valid: {error!r}") from error
