"""The ``dump`` command."""

from ..dispatch.call import CallLimits
from ..dispatch.fetching import Fetcher
from ..errors import PeerError, TargetError

# Time limits: for a connection, for each pause of the response, and for all of it.
LIMITS = CallLimits(connect=5.0, first_byte=5.0, between_bytes=5.0, total=60.0)
MAX_DUMP_BYTES = 256 << 20


def dump(url: str):
    """Print the state of a running instance.

    Parameters
    ----------
    url
        Base URL of its operators' port.
    """
    try:
        document = Fetcher(MAX_DUMP_BYTES).get(url, "/dump", LIMITS)
    except TargetError as error:
        raise PeerError(f"the instance cannot be reached: {error}") from error
    print(document.body.decode())
