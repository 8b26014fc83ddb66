"""Serve callers on a platform without a central coordinator: each instance decides."""
