"""Serve callers on a platform without a coordinator: each instance decides."""
