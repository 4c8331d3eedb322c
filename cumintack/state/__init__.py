"""Records and deterministic transitions of the replicated state.

Nothing here does I/O or reads a clock, so that the same code runs in property
tests, benchmarks and production.
"""
