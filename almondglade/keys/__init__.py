"""Idempotency keys: run each keyed non-idempotent request at most once."""
