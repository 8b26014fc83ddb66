"""The command-line interface, separate from the library."""
