"""The command line, apart from the library."""
