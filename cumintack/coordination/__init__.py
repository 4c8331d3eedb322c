"""Decisions: replication, routing, admission, scheduling and leases.

Decision code takes a state, an event and the time, and returns effects.
It does no I/O, so that faults can be caused at will in tests.
"""
