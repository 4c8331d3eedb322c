"""Scheduling of workflow runs: ranking, placement, leases, reconciliation.

The modules do no I/O: they take state, an event and the time, and return
effects for the caller to carry out.
"""
