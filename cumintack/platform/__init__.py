"""Adapter to the machines of the users: their words on the wire, ours inside.

Nothing outside this folder and the templates in ``deploy`` knows the names
that the platform uses. No decision is taken here.
"""
