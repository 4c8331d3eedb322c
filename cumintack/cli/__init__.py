"""Thin command-line client of the administration API of the entries."""
