"""A read-only client of the platform, by Consul's HTTP interface.

Blocking queries (``index`` and ``wait``) watch for a change; an answer carries
its version in ``X-Consul-Index``.
"""

import base64
import binascii
from dataclasses import dataclass

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from ..errors import PlatformError
from ..peers.membership import Instance

# Added to a blocking query's wait before the call is given up.
ANSWER_SECONDS = 2.0
CONNECT_SECONDS = 1.0
MAX_VALUE_BYTES = 1 << 20
MAX_CONTACT_AGE_MS = 500


@dataclass(frozen=True)
class Versioned:
    """A value and its version.

    Parameters
    ----------
    index : int
        Version to watch from.
    value : object
        The value, or None when it is not published.
    fresh : bool
        False if the server that answered says that it is cut off from the
        service's leader.
    """

    index: int
    value: object
    fresh: bool = True


class PlatformClient:
    """Reads the declared document and the list of instances.

    Parameters
    ----------
    url : str
        Base URL of the platform's service.
    """

    def __init__(self, url):
        self.url = url.rstrip("/")
        self.calls = 0
        self._pool = urllib3.PoolManager(retries=False, maxsize=4)

    def read_document(self, key, index=0, wait=0.0):
        """Return the value of a key, as bytes, once it is newer than `index`.

        Parameters
        ----------
        key : str
            Path of the key.
        index : int
            Version already known.
        wait : float
            Seconds to wait for a newer one.

        Raises
        ------
        PlatformError
            If the service does not give a usable answer.
        """
        answer = self._get(f"/v1/kv/{key}", index, wait)
        if answer.value is None:
            return answer
        try:
            item = answer.value[0]
            document = base64.b64decode(item["Value"], validate=True)
            return Versioned(int(item["ModifyIndex"]), document, answer.fresh)
        except (KeyError, IndexError, TypeError, ValueError, binascii.Error) as error:
            raise PlatformError(f"the key's value is not usable: {error}") from error

    def read_instances(self, service, index=0, wait=0.0):
        """Return the listed instances once the list is newer than `index`."""
        answer = self._get(f"/v1/health/service/{service}", index, wait)
        try:
            instances = [_instance(item["Service"]) for item in answer.value or []]
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"the list is not usable: {error}") from error
        return Versioned(answer.index, instances)

    def _get(self, path, index, wait):
        self.calls += 1
        query = f"?index={index}&wait={wait:g}s" if wait else ""
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=wait + ANSWER_SECONDS)
        try:
            response = self._pool.request(
                "GET", self.url + path + query, timeout=timeout
            )
        except (HTTPError, OSError) as error:
            raise PlatformError(f"the platform cannot be read: {error}") from error
        if response.status == 404:
            return Versioned(_index(response), None)
        if response.status != 200 or len(response.data) > 2 * MAX_VALUE_BYTES:
            raise PlatformError(f"the platform answered {response.status}")
        try:
            value = orjson.loads(response.data)
            return Versioned(_index(response), value, _is_fresh(response))
        except orjson.JSONDecodeError as error:
            raise PlatformError("the platform's answer is not JSON") from error


def _index(response):
    try:
        return int(response.headers["X-Consul-Index"])
    except (KeyError, ValueError) as error:
        raise PlatformError("the platform's answer has no version") from error


def _is_fresh(response):
    known = response.headers.get("X-Consul-KnownLeader", "true")
    contact = response.headers.get("X-Consul-LastContact", "0")
    return known == "true" and contact.isdigit() and int(contact) <= MAX_CONTACT_AGE_MS


def _instance(service):
    meta = service.get("Meta") or {}
    return Instance(
        str(service["ID"]),
        str(service["Address"]),
        int(service["Port"]),
        str(meta.get("data_centre", "")),
        meta.get("state", "live") == "leaving",
    )
