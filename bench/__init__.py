"""Load, demo and measurements on one machine with the stand-ins."""
