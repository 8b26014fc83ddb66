"""Mutual authentication of peers by a shared secret.

The caller's credential holds its id, the time, a nonce and a digest over these and the
callee's id, and is accepted once. The callee authenticates itself by a digest over that
nonce in its first message. Later messages on the link are neither encrypted nor signed.
"""

import hashlib
import hmac
import secrets
import time
from collections import OrderedDict
from dataclasses import dataclass

MAX_CLOCK_SKEW_SECONDS = 300
METADATA_KEY = "almondglade-auth"
NONCE_BYTES = 12
# Nonces remembered to reject replayed credentials; the oldest are dropped first.
MAX_REMEMBERED_NONCES = 100_000
MAX_CREDENTIAL_CHARACTERS = 400


@dataclass(frozen=True)
class Credential:
    """A valid credential.

    Parameters
    ----------
    sender : str
        Id of the calling instance.
    nonce : str
        Random string that the callee's proof covers.
    """

    sender: str
    nonce: str


def sign(secret, sender, callee, nonce=None, now=None):
    """Return the credential that an instance sends with a call.

    Parameters
    ----------
    secret : str
        Secret shared by all instances.
    sender, callee : str
        Instance ids of both sides.
    nonce : str or None
        Random string; generated if None.
    now : float or None
        Seconds since the epoch; the current time if None.
    """
    timestamp = str(int(time.time() if now is None else now))
    nonce = nonce or make_nonce()
    return ":".join(
        (
            sender,
            timestamp,
            nonce,
            _digest(secret, "call", sender, callee, timestamp, nonce),
        )
    )


def make_nonce():
    """Return a random string for one call."""
    return secrets.token_hex(NONCE_BYTES)


def prove(secret, callee, nonce):
    """Return the callee's proof that it knows the secret."""
    return _digest(secret, "answer", callee, nonce)


def is_valid_proof(secret, callee, nonce, proof):
    """Return whether a callee's proof is valid."""
    return hmac.compare_digest(proof.encode(), prove(secret, callee, nonce).encode())


class Verifier:
    """Verifies credentials, each of which is valid only once.

    Parameters
    ----------
    secret : str
        Secret shared by all instances.
    own : str
        Id of this instance; other callees' credentials are rejected.
    clock : callable
        Returns seconds since the epoch.
    """

    def __init__(self, secret, own, clock=time.time):
        self.secret = secret
        self.own = own
        self.clock = clock
        self._seen: OrderedDict[str, float] = OrderedDict()

    def verify(self, text):
        """Return the `Credential`, or None if it is invalid."""
        now = self.clock()
        try:
            if len(text) > MAX_CREDENTIAL_CHARACTERS:
                return None
            sender, timestamp, nonce, digest = text.split(":")
            age = now - int(timestamp)
        except (AttributeError, TypeError, ValueError):
            return None
        expected = _digest(self.secret, "call", sender, self.own, timestamp, nonce)
        if not hmac.compare_digest(digest.encode(), expected.encode()):
            return None
        if abs(age) > MAX_CLOCK_SKEW_SECONDS or nonce in self._seen:
            return None
        self._remember(nonce, now)
        return Credential(sender, nonce)

    def _remember(self, nonce, now):
        self._seen[nonce] = now
        oldest = now - 2 * MAX_CLOCK_SKEW_SECONDS
        while len(self._seen) > MAX_REMEMBERED_NONCES or (
            next(iter(self._seen.values())) < oldest
        ):
            self._seen.popitem(last=False)


def _digest(secret, *parts):
    text = ":".join(parts).encode()
    return hmac.new(secret.encode(), text, hashlib.sha256).hexdigest()
