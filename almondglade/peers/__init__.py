"""Links between almondglade's own processes."""
