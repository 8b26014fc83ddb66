"""Send a permitted request to its target and read the answer."""
