"""Schedule requests from many callers onto heterogeneous targets."""

__version__ = "0.1.0"
