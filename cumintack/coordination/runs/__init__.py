"""Runs of tasks: order, placement, leases, and what a guard does of them.

Everything here is pure: state, event and time in, effects out.
"""
