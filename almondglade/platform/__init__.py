"""Adapters to the platform: its store, settings file, headers and readiness check."""
