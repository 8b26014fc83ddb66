"""Commands that run until they are told to stop, and reload on a signal."""

SERVICES = ("gateway", "serve")
