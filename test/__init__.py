"""Tests; each module mirrors one of the package."""
