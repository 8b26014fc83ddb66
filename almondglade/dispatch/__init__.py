"""Send a request that has a permit to its target and read the response."""
