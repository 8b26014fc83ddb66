"""Fakes that several test modules share."""
