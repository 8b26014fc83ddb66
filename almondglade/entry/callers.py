"""Authenticate callers by their bearer keys."""

import hashlib
import secrets
from dataclasses import dataclass

from ..outcome import Code, RequestError

KEY_BYTES = 32
KEY_PREFIX = "ag_"
BEARER = "bearer "


@dataclass(frozen=True)
class Caller:
    """An authenticated workspace and its tier."""

    workspace: str
    tier: int


def make_key():
    """Return a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key):
    """Return the hash of a key, as it stands in the declarations.

    Keys have 256 random bits, so a plain unsalted hash suffices.
    """
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


class CallerTable:
    """Workspaces by the hash of their keys.

    Parameters
    ----------
    declarations : Declarations
        Declarations that are in force.
    """

    def __init__(self, declarations):
        self.by_key_hash = {
            key: Caller(name, declarations.plans[workspace.plan].tier)
            for name, workspace in declarations.workspaces.items()
            for key in workspace.keys
        }

    def authenticate(self, authorization):
        """Return the caller that an Authorization header identifies.

        Raises
        ------
        RequestError
            If the header has no declared key.
        """
        if not authorization or not authorization.lower().startswith(BEARER):
            raise RequestError(Code.UNAUTHENTICATED, "a bearer key is required")
        key = authorization[len(BEARER) :].strip()
        caller = self.by_key_hash.get(hash_key(key))
        if caller is None:
            raise RequestError(Code.UNAUTHENTICATED, "the key is not known")
        return caller
