"""Load, demo and measurements on loopback with the stand-ins."""
