"""Authenticate peers to each other by a shared secret."""

import hashlib
import hmac
import time

MAX_CLOCK_SKEW_SECONDS = 300
METADATA_KEY = "almondglade-auth"


def sign(secret, instance, now=None):
    """Return the credential that one instance sends with a call.

    Parameters
    ----------
    secret : str
        Secret that all instances share.
    instance : str
        Sender's id.
    now : float or None
        Seconds since the epoch; the present when None.
    """
    stamp = str(int(time.time() if now is None else now))
    return f"{instance}:{stamp}:{_digest(secret, instance, stamp)}"


def verify(secret, credential, now=None):
    """Return the sender of a credential, or None if it is not genuine."""
    try:
        instance, stamp, digest = credential.split(":")
        age = (time.time() if now is None else now) - int(stamp)
    except (AttributeError, ValueError):
        return None
    genuine = hmac.compare_digest(digest, _digest(secret, instance, stamp))
    return instance if genuine and abs(age) <= MAX_CLOCK_SKEW_SECONDS else None


def _digest(secret, instance, stamp):
    text = f"{instance}:{stamp}".encode()
    return hmac.new(secret.encode(), text, hashlib.sha256).hexdigest()
