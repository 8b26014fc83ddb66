"""Read what the platform publishes."""
