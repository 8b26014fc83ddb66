"""Parse idempotency keys, and issue and verify keys that carry a MAC."""

import hashlib
import hmac
import itertools
import re
from dataclasses import dataclass

from ..outcome import Code, Outcome, RequestError

PREFIX = "agk1"
SEPARATOR = ":"
MAC_CHARACTERS = 32
MAX_KEY_CHARACTERS = 255
MILLISECONDS_PER_SECOND = 1_000
MAC_CONTEXT = b"almondglade idempotency key\0"

_PRINTABLE_ASCII = re.compile(r"[!-~](?:[ -~]*[!-~])?")
_ISSUED_KEY = re.compile(
    r"agk1:([a-z0-9][a-z0-9_.-]{0,62}):([0-9a-f]{1,64}):([0-9]{1,18}):([0-9]{1,18})"
    r":([0-9a-f]{32})"
)


@dataclass(frozen=True)
class Holder:
    """A process that may run the requests of a key.

    Parameters
    ----------
    instance : str
        Instance id.
    incarnation : str
        Id of the process, different after each start of the instance.
    """

    instance: str
    incarnation: str


@dataclass(frozen=True)
class IssuedKey:
    """A key that an instance issued.

    Parameters
    ----------
    holder : Holder
        The only process that may run its request.
    issued_at : float
        Seconds on the holder's monotonic clock.
    serial : int
        Serial number, unique among the keys that the holder has issued.
    """

    holder: Holder
    issued_at: float
    serial: int


def parse_key_header(header):
    """Return the key in an ``Idempotency-Key`` header.

    The IETF draft defines the header as a quoted string; unquoted text is
    accepted too.

    Raises
    ------
    RequestError
        If the key is empty, too long or not printable ASCII.
    """
    text = header.strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if len(text) > MAX_KEY_CHARACTERS or not _PRINTABLE_ASCII.fullmatch(text):
        raise RequestError(
            Code.BAD_REQUEST,
            f"an idempotency key is 1 to {MAX_KEY_CHARACTERS} printable characters",
        )
    return text


class KeyCodec:
    """Issues keys and verifies keys issued by any instance.

    Parameters
    ----------
    secret : str
        Secret shared by all instances, used as the key of the MAC.
    own : Holder
        This process.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, secret, own, clock):
        self.own = own
        self._secret = secret.encode()
        self._clock = clock
        self._serials = itertools.count(1)

    def issue(self, workspace):
        """Return a new key that is valid only in a workspace."""
        issued_ms = int(self._clock() * MILLISECONDS_PER_SECOND)
        fields = (
            PREFIX,
            self.own.instance,
            self.own.incarnation,
            str(issued_ms),
            str(next(self._serials)),
        )
        text = SEPARATOR.join(fields)
        return f"{text}{SEPARATOR}{self._mac(workspace, text)}"

    def has_issued_prefix(self, text):
        """Return whether a key has the prefix of issued keys."""
        return text.partition(SEPARATOR)[0] == PREFIX

    def parse(self, text, workspace):
        """Parse and verify an issued key and return its `IssuedKey`.

        Raises
        ------
        RequestError
            If the key is malformed (outcome not run) or its MAC does not match
            this workspace (outcome unknown, because the secret may have been
            changed since the key was used).
        """
        match = _ISSUED_KEY.fullmatch(text)
        if match is None:
            raise RequestError(
                Code.BAD_REQUEST, f"keys that begin with {PREFIX}: are issued only"
            )
        instance, incarnation, issued_ms, serial, mac = match.groups()
        signed = text.rpartition(SEPARATOR)[0]
        if not hmac.compare_digest(mac, self._mac(workspace, signed)):
            raise key_void_error("the key was not issued to this workspace")
        holder = Holder(instance, incarnation)
        return IssuedKey(holder, int(issued_ms) / MILLISECONDS_PER_SECOND, int(serial))

    def _mac(self, workspace, text):
        message = MAC_CONTEXT + f"{workspace}\0{text}".encode()
        digest = hmac.new(self._secret, message, hashlib.sha256)
        return digest.hexdigest()[:MAC_CHARACTERS]


def key_void_error(message):
    """Return the error for a key under which no request will be run any more."""
    return RequestError(Code.KEY_VOID, message, Outcome.UNKNOWN)
