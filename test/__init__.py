"""Tests; each test module covers the package module of the same name."""
