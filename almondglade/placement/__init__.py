"""Decisions of a gateway, apart from all input and output.

Each module answers one load pattern, which it names.
"""
