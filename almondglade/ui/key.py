"""The ``key`` command."""

from ..entry.callers import hash_key, make_key


def key(*, secret: str | None = None):
    """Make a caller's key and print it with its hash.

    Parameters
    ----------
    secret
        Key to hash instead of making one.
    """
    made = secret or make_key()
    print(f"key: {made}")
    print(f"hash: {hash_key(made)}")
