"""Benchmarks that run the real processes on loopback."""
