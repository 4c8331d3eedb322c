"""Adapter to the users' platform: translates its API to the internal types.

The names that the platform uses occur only in this folder and in the
templates in ``deploy``. The adapter makes no scheduling decisions.
"""
