"""Authenticate peers to each other by a shared secret.

The caller's credential names both sides, the time and a nonce, and is taken
once. The callee proves itself by a digest over that nonce in its first message.
What follows on the link is neither encrypted nor signed.
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
# Credentials remembered against replay; the oldest are dropped first.
MAX_REMEMBERED_NONCES = 100_000
MAX_CREDENTIAL_CHARACTERS = 400


@dataclass(frozen=True)
class Credential:
    """A genuine credential.

    Parameters
    ----------
    sender : str
        Calling instance.
    nonce : str
        Random text that the callee's proof covers.
    """

    sender: str
    nonce: str


def sign(secret, sender, callee, nonce=None, now=None):
    """Return the credential that one instance sends with a call.

    Parameters
    ----------
    secret : str
        Secret that all instances share.
    sender, callee : str
        Instance ids of both sides.
    nonce : str or None
        Random text, made when None.
    now : float or None
        Seconds since the epoch; the present when None.
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
    """Return a random text for one call."""
    return secrets.token_hex(NONCE_BYTES)


def prove(secret, callee, nonce):
    """Return the callee's proof that it holds the secret."""
    return _digest(secret, "answer", callee, nonce)


def is_valid_proof(secret, callee, nonce, proof):
    """Tell whether a proof is genuine."""
    return hmac.compare_digest(proof.encode(), prove(secret, callee, nonce).encode())


class Verifier:
    """Checks credentials, each of which is genuine once.

    Parameters
    ----------
    secret : str
        Secret that all instances share.
    own : str
        This instance's id, to which credentials must be addressed.
    clock : callable
        Returns seconds since the epoch.
    """

    def __init__(self, secret, own, clock=time.time):
        self.secret = secret
        self.own = own
        self.clock = clock
        self._seen: OrderedDict[str, float] = OrderedDict()

    def verify(self, text):
        """Return the `Credential`, or None if it is not genuine."""
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
