"""Simulators of the targets, callers and platform, for tests and the demo."""
