"""Records and pure transitions of everything that is replicated.

Nothing here does I/O or reads a clock, so that the same code runs in a
property test, in the bench and in production.
"""
