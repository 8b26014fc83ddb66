"""The ``dump`` command."""

import urllib3
from urllib3.exceptions import HTTPError

from ..errors import PeerError

TIMEOUT_SECONDS = 5.0


def dump(url: str):
    """Print the state of a running instance.

    Parameters
    ----------
    url
        Base URL of its operators' port.
    """
    try:
        response = urllib3.request(
            "GET", url.rstrip("/") + "/dump", timeout=TIMEOUT_SECONDS, retries=False
        )
    except (HTTPError, OSError) as error:
        raise PeerError(f"the instance cannot be reached: {error}") from error
    print(response.data.decode())
