"""Commands that run until they are asked to stop, and reload on a signal."""

SERVICES = ("gateway", "serve")
