"""Schedule requests from many callers onto unlike targets."""

__version__ = "0.1.0"
