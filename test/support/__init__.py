"""Fakes and helpers shared by several test modules."""
