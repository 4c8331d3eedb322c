"""Bench of the real processes on loopback."""
