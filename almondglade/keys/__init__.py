"""Idempotency keys: a non-idempotent request runs at most once."""
