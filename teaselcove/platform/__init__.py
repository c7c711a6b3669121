"""Adapters for the platforms that the project runs on.

The modules contain names, formats and calls, but no decisions. `port` is for
the project's own log and lists; the other modules are for the users' platform.
"""
