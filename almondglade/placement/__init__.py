"""Placement decisions of a gateway, without any I/O.

Each module handles one load pattern, which its docstring names.
"""
