"""Ask model engines what they keep in memory and when they started."""

import orjson

from ..dispatch.call import CallLimits
from ..dispatch.fetching import Fetcher
from ..errors import PlatformError, TargetError
from .front import EXPECTED_TARGET_HEADER

HELD_PARTS_PATH = "/api/kv-list"
REPORT_PATH = "/api/report"
# Time limits: for a connection, for each pause of the response, and for all of it.
LIMITS = CallLimits(connect=0.2, first_byte=0.4, between_bytes=0.4, total=2.0)
MAX_RESPONSE_BYTES = 4 << 20


class EngineClient:
    """Reads what engines tell of themselves; safe from any thread."""

    def __init__(self):
        self._fetcher = Fetcher(MAX_RESPONSE_BYTES)

    def read_parts(self, record):
        """Return how many tokens an engine keeps of each part, by the part's id.

        With the last part of a prompt it keeps what it has generated.

        Raises
        ------
        PlatformError
            If it cannot be reached, does not tell, or has started again, or another
            target has its address.
        """
        content = self._read(record, HELD_PARTS_PATH)
        if record.started_at and content.get("born", 0) not in (0, record.started_at):
            raise PlatformError("the target has started again")
        try:
            return {
                str(part).lower(): int(tokens)
                for _, part, tokens, *_ in content["held"]
            }
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"the list of parts is not valid: {error!r}") from error

    def read_start(self, record):
        """Return the Unix milliseconds at which an engine started.

        Raises
        ------
        PlatformError
            If it cannot be reached or does not tell, or another target has its address.
        """
        start = self._read(record, REPORT_PATH).get("born")
        if not isinstance(start, int):
            raise PlatformError("the target does not tell when it started")
        return start

    def _read(self, record, path):
        url = f"http://{record.host}:{record.port}"
        headers = [(EXPECTED_TARGET_HEADER, record.id)]
        try:
            response = self._fetcher.get(url, path, LIMITS, headers)
        except TargetError as error:
            raise PlatformError(f"the target cannot be reached: {error}") from error
        if response.status != 200:
            raise PlatformError(f"the target responded with status {response.status}")
        try:
            content = orjson.loads(response.body)
        except orjson.JSONDecodeError as error:
            raise PlatformError("the target's response is not JSON") from error
        if not isinstance(content, dict):
            raise PlatformError("the target's response is not an object")
        return content
