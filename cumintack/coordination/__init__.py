"""Decision logic: replication, routing, admission, scheduling and leases.

Each function takes a state, an event and the current time and returns the
effects to carry out. The code does no I/O, so that tests can inject any fault.
"""
